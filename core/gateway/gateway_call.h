#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "core/base/error_kind.h"
#include "core/endpoints/endpoint_pool.h"
#include "core/endpoints/endpoint_sight.h"
#include "core/entry/call.h"
#include "core/outcome/response.h"

namespace papayawheel {

/** Names one attempt at an endpoint within one process. */
using AttemptId = std::uint64_t;

/** A request of a caller whose route decides what may be done with it. */
struct GatewayRequest {
  /** As the caller sent it; each attempt of a caller has its own. */
  std::string mRequestId;
  std::string mMethod;
  std::string mHost;
  /** Path and query. */
  std::string mTarget;
  std::uint64_t mBodyHash = 0;
  /** Hash of what the caller proves its identity with; 0 if it does not. */
  std::uint64_t mCallerHash = 0;
  /** How long the caller will wait; nothing if it did not say. */
  std::optional<Duration> mCallerTimeout;
};

/** How an attempt ended and what came of it. */
struct AttemptReply {
  AttemptResult mResult = AttemptResult::Lost;
  EndpointSight mLiveness = EndpointSight::Unclear;
  std::optional<LoadSample> mSample;
  EndpointNotice mNotice;
  /** Set when the endpoint answered. */
  std::shared_ptr<const Response> mResponse;
};

/** Answer the caller. */
struct GatewayAnswer {
  CallId mCall = 0;
  /** The endpoint's answer; null when mError says what happened. */
  std::shared_ptr<const Response> mResponse;
  ErrorKind mError = ErrorKind::BadRequest;
  /** When the caller may usefully come back; zero if it need not be told. */
  Duration mRetryAfter{0};
  /** For logs: the route, empty if there is none. */
  std::string mRoute;
  /** For logs: endpoints that the call was sent to, the last one last. */
  std::vector<std::string> mEndpoints;
  /** For logs: the same for all requests that are alike. */
  std::uint64_t mFingerprint = 0;
};

/** Send a call to an endpoint. */
struct StartAttempt {
  AttemptId mAttempt = 0;
  CallId mCall = 0;
  std::string mEndpoint;
  std::string mAddress;
  /** How long the caller will still wait. */
  Duration mTimeLeft{0};
  /** For logs: how long it was expected to take, and how many times longer
   * than usual that is. */
  Duration mExpected{0};
  double mSlowdown = 1;
  /** For logs: the same for all requests that are alike. */
  std::uint64_t mFingerprint = 0;
  /** The request must not meet a connection that the endpoint may be closing.
   */
  bool mNeedsFreshConnection = false;
};

/** Names one question for an endpoint's load within one process. */
using ProbeId = std::uint64_t;

/** What an endpoint answered to a question for its load. */
struct ProbeReply {
  EndpointSight mLiveness = EndpointSight::Unclear;
  /** Nothing if it did not tell. */
  std::optional<LoadSample> mSample;
  EndpointNotice mNotice;
};

/** Ask an endpoint for its load. */
struct StartProbe {
  ProbeId mProbe = 0;
  std::string mEndpoint;
  std::string mAddress;
  /** Path that answers with a load report. */
  std::string mHealthPath;
};

/** Close the connection of a question that was not answered in time. */
struct CancelProbe {
  ProbeId mProbe = 0;
};

/** Close the connection of an attempt. */
struct CancelAttempt {
  AttemptId mAttempt = 0;
};

using GatewayAction = std::variant<GatewayAnswer, StartAttempt, StartProbe,
                                   CancelProbe, CancelAttempt>;
using GatewayActions = std::vector<GatewayAction>;

}  // namespace papayawheel
