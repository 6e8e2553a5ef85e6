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

/** Names one call within one process. */
using CallId = std::uint64_t;

/** Why a host passes a call on to another host. */
enum class HopReason {
  /** The call comes from a caller. */
  None,
  /** The other host owns the request key. */
  KeyOwner,
  /** The other host has rights of the contract left. The sender keeps the
   * record of the key. */
  Quota,
  /** The other host runs requests of this kind one at a time, because one of
   * them was lost with its endpoint. The sender keeps the record of the key
   * and has admitted the call. */
  Suspect,
};

/** The word of a reason in the `papayawheel-hop` header. */
std::string_view HopReasonName(HopReason aReason);
std::optional<HopReason> HopReasonNamed(std::string_view aName);

/** A request as it arrived. */
struct CallRequest {
  std::string mCustomer;
  std::string mService;
  std::string mMethod;
  /** Path and query. */
  std::string mTarget;
  /** Hash of the body. */
  std::uint64_t mBodyHash = 0;
  /** Empty if the caller gave none. */
  std::string mKey;
  /** The time that the caller is willing to wait; nothing if it did not say. */
  std::optional<Duration> mCallerTimeout;
  HopReason mHop = HopReason::None;
};

/** How one attempt at an endpoint ended. */
struct EndpointReply {
  EndpointResult mResult = EndpointResult::Lost;
  std::optional<LoadReport> mReport;
  /** Set when the result is Answered. */
  std::shared_ptr<const Response> mResponse;
};

/** How passing a call to another host ended. */
struct HostReply {
  enum class Result { Answered, Refused, NotConnected, Lost, TimedOut };
  Result mResult = Result::Lost;
  /** What the other host said became of the call. */
  Outcome mOutcome = Outcome::Unknown;
  /** The error it named, if any. */
  std::optional<ErrorKind> mError;
  Duration mRetryAfter{0};
  std::shared_ptr<const Response> mResponse;
};

/** Answer the caller. */
struct AnswerAction {
  CallId mCall = 0;
  /** The endpoint's answer; null when mError says what happened. */
  std::shared_ptr<const Response> mResponse;
  ErrorKind mError = ErrorKind::BadRequest;
  Duration mRetryAfter{0};
};

/** Send the call to an endpoint. */
struct SendToEndpointAction {
  CallId mCall = 0;
  std::string mEndpoint;
  std::string mAddress;
  Duration mTimeout{0};
  std::uint32_t mAttempt = 1;
};

/** Pass the call to another host. */
struct SendToHostAction {
  CallId mCall = 0;
  std::string mHost;
  std::string mAddress;
  Duration mTimeout{0};
  HopReason mHop = HopReason::None;
};

/** Close the connection on which the call was sent. */
struct CancelAction {
  CallId mCall = 0;
};

using CallAction = std::variant<AnswerAction, SendToEndpointAction,
                                SendToHostAction, CancelAction>;
using CallActions = std::vector<CallAction>;

}  // namespace papayawheel
