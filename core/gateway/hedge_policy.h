#pragma once

#include <cstddef>
#include <optional>

#include "core/base/clock.h"

namespace papayawheel {

/** Fraction of the retry budget that hedges leave for retries of failed
 * attempts. */
constexpr double kHedgeReserve = 0.4;

/** Fraction of the recent attempts of a route on a service that are expected to
 * be answered before a hedge is sent. */
constexpr double kHedgeQuantile = 0.95;

/** What is known of an idle endpoint for a hedge. */
enum class IdleEndpoint {
  /** No load sample is recent enough to tell. */
  Unknown,
  /** Probes that may show one are not answered yet. */
  Awaited,
  /** One reported that it is idle and not slowed. */
  Found,
  /** The probes showed none. */
  None,
};

/** The state of a call, its service and its host when a hedge is considered. */
struct HedgeSituation {
  /** The route allows repeated execution. */
  bool mMayRepeat = false;
  /** Only the attempt that the hedge was scheduled for is under way. */
  bool mAwaitsFirst = false;
  bool mIsHedged = false;
  /** The request is suspect or quarantined. */
  bool mIsSuspect = false;
  bool mCallerDisconnected = false;
  std::size_t mAttemptsLeft = 0;
  /** Calls that wait in the queue of the service. */
  std::size_t mQueuedCalls = 0;
  /** Hedges that the limit still allows. */
  double mLimitRemaining = 0;
  /** The retry budget allows a hedge. */
  bool mHasRetryBudget = false;
  IdleEndpoint mEndpoint = IdleEndpoint::Unknown;
  /** Time until the deadline of the call, and expected time of the hedge on the
   * idle endpoint, if one is found. */
  Duration mTimeLeft{0};
  Duration mExpected{0};
};

enum class HedgeDecision {
  Send,
  /** Find out whether an endpoint is idle. */
  Probe,
  /** Decide again when the probes are answered. */
  Wait,
  /** The call is not one to hedge, or no longer. */
  NotApplicable,
  RefusedByLimit,
  RefusedByRetryBudget,
  /** Calls are queued, so a hedge could displace a first attempt. */
  RefusedByQueue,
  RefusedWithoutIdleEndpoint,
};

[[nodiscard]] HedgeDecision DecideHedge(const HedgeSituation& aSituation);

/** Returns the time after which an unanswered attempt may be hedged; nothing if
 * too little is known to hedge.
 * @param aQuantile latency at kHedgeQuantile of the route on the service.
 * @param aExpected expected time of the attempt on its endpoint. */
[[nodiscard]] std::optional<Duration> HedgeDelay(
    std::optional<Duration> aQuantile, Duration aExpected);

}  // namespace papayawheel
