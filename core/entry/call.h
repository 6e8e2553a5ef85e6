#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "core/base/error_kind.h"
#include "core/outcome/response.h"
#include "core/routing/endpoint_result.h"
#include "core/routing/load_report.h"

namespace papayawheel {

/** Identifies a call within one process. */
using CallId = std::uint64_t;

/** Why a host forwards a call to another host. */
enum class HopReason {
  /** The call was not forwarded; it comes from a caller. */
  None,
  /** The other host owns the request key. */
  KeyOwner,
  /** The other host holds a share of the contract with remaining quota. The
   * sender keeps the record of the request key. */
  Quota,
  /** The request is suspect, and the other host runs requests like it one at
   * a time. The sender keeps the record of the request key and has admitted the
   * call against its contract. */
  Suspect,
};

/** Value of a reason in the `papayawheel-hop` header, and the reason of a
 * value; nothing if the value is unknown. */
std::string_view HopReasonName(HopReason aReason);
std::optional<HopReason> HopReasonNamed(std::string_view aName);

/** A request as received from a caller or another host. */
struct CallRequest {
  std::string mCustomer;
  std::string mService;
  std::string mMethod;
  /** Path and query. */
  std::string mTarget;
  /** Hash of the body. */
  std::uint64_t mBodyHash = 0;
  /** Request key; empty if the caller sent none. */
  std::string mKey;
  /** Time that the caller is willing to wait, if it sent one. */
  std::optional<Duration> mCallerTimeout;
  HopReason mHopReason = HopReason::None;
};

/** The outcome of one attempt at an endpoint. */
struct EndpointReply {
  EndpointResult mResult = EndpointResult::Lost;
  std::optional<LoadReport> mReport;
  /** Set when the result is Answered. */
  std::shared_ptr<const Response> mResponse;
};

/** The outcome of forwarding a call to another host. */
struct HostReply {
  enum class Result { Answered, Refused, NotConnected, Lost, TimedOut };
  Result mResult = Result::Lost;
  /** Outcome of the call as reported by the other host. */
  Outcome mOutcome = Outcome::Unknown;
  /** Error reported by the other host, if any. */
  std::optional<ErrorKind> mError;
  Duration mRetryAfter{0};
  std::shared_ptr<const Response> mResponse;
};

/** Action: answer the caller. */
struct AnswerAction {
  CallId mCall = 0;
  /** The endpoint's answer; null if mError applies. */
  std::shared_ptr<const Response> mResponse;
  ErrorKind mError = ErrorKind::BadRequest;
  Duration mRetryAfter{0};
};

/** Action: send the call to an endpoint. */
struct SendToEndpointAction {
  CallId mCall = 0;
  std::string mEndpoint;
  std::string mAddress;
  Duration mTimeout{0};
  std::uint32_t mAttempt = 1;
};

/** Action: forward the call to another host. */
struct SendToHostAction {
  CallId mCall = 0;
  std::string mHost;
  std::string mAddress;
  Duration mTimeout{0};
  HopReason mHopReason = HopReason::None;
};

/** Action: close the connection on which the call was sent. */
struct CancelAction {
  CallId mCall = 0;
};

using CallAction = std::variant<AnswerAction, SendToEndpointAction,
                                SendToHostAction, CancelAction>;
using CallActions = std::vector<CallAction>;

}  // namespace papayawheel
