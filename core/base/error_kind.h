#pragma once

#include <optional>
#include <string_view>

namespace papayawheel {

/** The outcome of a request as reported to its caller. A reported outcome must
 * be true; if it is in doubt, Unknown is reported. */
enum class Outcome {
  /** An endpoint ran the request and answered completely. The response is
   * attached, except with the error AnswerNotKept. */
  Answered,
  /** The request was not run, and no request with this key will be run later.
   */
  NotRun,
  /** The request may or may not have run. */
  Unknown,
};

/** Advice to the caller on whether and how to retry. */
enum class RetryAdvice {
  /** Do not retry: the same request will get the same answer. */
  Never,
  /** Retry after the number of milliseconds that the answer gives. */
  After,
  /** Query the outcome of the same key. The answer gives the path of the query.
   */
  AskOutcome,
};

/** All errors that a call can end with. */
enum class ErrorKind {
  BadRequest,
  BodyTooLarge,
  UnknownCustomer,
  UnknownService,
  ServiceNotInContract,
  KeyMissing,
  KeyMalformed,
  HostNotReady,
  OverRate,
  OverConcurrency,
  Overloaded,
  DeadlineTooShort,
  DeadlinePassed,
  NoEndpoint,
  NeverSent,
  Quarantined,
  KeySpent,
  TooManyKeys,
  EndpointLost,
  AnswerCut,
  UnconfirmedRefusal,
  TimedOut,
  StillRunning,
  KeyOwnerGone,
  KeyOwnerUnreachable,
  KeyExpired,
  AnswerNotKept,
  NoRoute,
  RequestIdMissing,
};

/** The response that an error is reported with. */
struct ErrorAnswer {
  ErrorKind mKind;
  /** Value of the `papayawheel-error` header. */
  std::string_view mName;
  /** The HTTP status. */
  int mStatus;
  Outcome mOutcome;
  RetryAdvice mRetryAdvice;
  /** Human-readable description, one sentence. */
  std::string_view mMessage;
};

/** Returns the response for an error. Every kind has exactly one entry. */
const ErrorAnswer& AnswerOf(ErrorKind aKind);

/** Parses the value of a `papayawheel-error` header; empty if unknown. */
std::optional<ErrorKind> ParseErrorKind(std::string_view aName);

/** Returns the value of the `papayawheel-outcome` header. */
std::string_view OutcomeName(Outcome aOutcome);

/** Parses the value of a `papayawheel-outcome` header; empty if unknown. */
std::optional<Outcome> ParseOutcome(std::string_view aName);

}  // namespace papayawheel
