#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "core/base/error_kind.h"
#include "core/endpoints/endpoint_liveness.h"
#include "core/endpoints/endpoint_pool.h"
#include "core/entry/call.h"
#include "core/outcome/response.h"

namespace papayawheel {

/** Identifies one attempt within one process. */
using AttemptId = std::uint64_t;

/** A request of a caller. Its route decides whether it may be retried. */
struct GatewayRequest {
  /** As sent by the caller, which chooses a new one for each of its attempts.
   */
  std::string mRequestId;
  std::string mMethod;
  std::string mHost;
  /** Path and query. */
  std::string mTarget;
  std::uint64_t mBodyHash = 0;
  /** Hash of the caller's credentials; 0 if there are none. */
  std::uint64_t mCallerHash = 0;
  /** How long the caller will wait; nothing if it gave no limit. */
  std::optional<Duration> mCallerTimeout;
};

/** The result of an attempt. */
struct AttemptReply {
  AttemptResult mResult = AttemptResult::Lost;
  EndpointLiveness mLiveness = EndpointLiveness::Unknown;
  std::optional<LoadSample> mSample;
  EndpointNotice mNotice;
  /** Set when the endpoint answered. */
  std::shared_ptr<const Response> mResponse;
};

/** Action: answer the caller. */
struct GatewayAnswer {
  CallId mCall = 0;
  /** The endpoint's answer; null if mError applies. */
  std::shared_ptr<const Response> mResponse;
  ErrorKind mError = ErrorKind::BadRequest;
  /** When the caller should retry; zero to give no advice. */
  Duration mRetryAfter{0};
  /** For logs: the route, empty if there is none. */
  std::string mRoute;
  /** For logs: endpoints that the call was sent to, in order. */
  std::vector<std::string> mEndpoints;
  /** For logs: see CrashRecord::mFingerprint. */
  std::uint64_t mFingerprint = 0;
  /** For logs: status of an endpoint's refusal that mError replaces, since the
   * request may have run; 0 if there is none. */
  int mReplacedStatus = 0;
};

/** Action: send a call to an endpoint. */
struct StartAttempt {
  AttemptId mAttempt = 0;
  CallId mCall = 0;
  std::string mEndpoint;
  std::string mAddress;
  /** Time until the deadline of the call. */
  Duration mTimeLeft{0};
  /** For logs: expected time of the attempt, and the factor by which load
   * makes it longer than on an idle endpoint. */
  Duration mExpected{0};
  double mSlowdown = 1;
  /** For logs: see CrashRecord::mFingerprint. */
  std::uint64_t mFingerprint = 0;
  /** The request must not be sent on a reused keep-alive connection, which the
   * endpoint may be closing at that moment. */
  bool mNeedsFreshConnection = false;
};

/** Identifies one probe within one process. */
using ProbeId = std::uint64_t;

/** The result of a probe. */
struct ProbeReply {
  /** Whether anything answered that says nothing else of the endpoint. */
  bool mHasOtherAnswer = false;
  EndpointLiveness mLiveness = EndpointLiveness::Unknown;
  /** Nothing if the endpoint sent no load report. */
  std::optional<LoadSample> mSample;
  EndpointNotice mNotice;

  /** Whether anything answered at the endpoint's address. */
  [[nodiscard]] bool HasAnswer() const {
    return mHasOtherAnswer || mSample || mLiveness == EndpointLiveness::Alive ||
           mLiveness == EndpointLiveness::Replaced;
  }
};

/** Action: probe an endpoint. */
struct StartProbe {
  ProbeId mProbe = 0;
  std::string mEndpoint;
  std::string mAddress;
  /** Path of the load report. */
  std::string mHealthPath;
};

/** Action: close the connection of a probe that was not answered in time. */
struct CancelProbe {
  ProbeId mProbe = 0;
};

/** Action: close the connection of an attempt. */
struct CancelAttempt {
  AttemptId mAttempt = 0;
};

using GatewayAction = std::variant<GatewayAnswer, StartAttempt, StartProbe,
                                   CancelProbe, CancelAttempt>;
using GatewayActions = std::vector<GatewayAction>;

}  // namespace papayawheel
