#pragma once

#include <optional>
#include <string_view>

namespace papayawheel {

/** What became of a request. The word is always true for the caller who reads
 * it. */
enum class Outcome {
  /** An endpoint ran the request to its end. The whole answer is attached,
   * unless the error says that it is no longer kept. */
  Answered,
  /** The request was not run and, under this key, never will be. */
  NotRun,
  /** The request may or may not have run. */
  Unknown,
};

/** Whether a caller may usefully send the request again. */
enum class RetryAdvice {
  /** Sending the same request again gives the same answer. */
  Never,
  /** The answer carries the number of milliseconds to wait. */
  After,
  /** The answer says how to ask for the outcome of the same key. */
  AskOutcome,
};

/** The closed list of everything that can go wrong with one call. */
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
  TimedOut,
  StillRunning,
  KeyOwnerGone,
  KeyOwnerUnreachable,
  KeyExpired,
  AnswerNotKept,
  NoRoute,
  RequestIdMissing,
};

/** How one kind of error is answered. */
struct ErrorAnswer {
  ErrorKind mKind;
  /** The word in the `papayawheel-error` header. */
  std::string_view mName;
  /** The HTTP status. */
  int mStatus;
  Outcome mOutcome;
  RetryAdvice mRetryAdvice;
  /** One sentence for people. */
  std::string_view mMessage;
};

/** Looks up how an error is answered. Every kind has exactly one row. */
const ErrorAnswer& AnswerOf(ErrorKind aKind);

/** Finds the kind that a `papayawheel-error` header names. */
std::optional<ErrorKind> ParseErrorKind(std::string_view aName);

/** The word in the `papayawheel-outcome` header. */
std::string_view OutcomeName(Outcome aOutcome);

/** Reads the word of a `papayawheel-outcome` header. */
std::optional<Outcome> ParseOutcome(std::string_view aName);

}  // namespace papayawheel
