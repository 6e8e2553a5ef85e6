#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/hedge_budget.h"
#include "core/gateway/hedge_policy.h"
#include "core/gateway/latency_quantiles.h"
#include "core/routes/route.h"

namespace papayawheel {

/** Counters of hedges under a limit, since the process started. */
struct HedgeCounts {
  std::uint64_t mSent = 0;
  /** Hedges that answered their call. */
  std::uint64_t mWon = 0;
  /** Attempts that were cancelled because the other one answered. */
  std::uint64_t mCancelled = 0;
  std::uint64_t mRefusedByLimit = 0;
  std::uint64_t mRefusedByRetryBudget = 0;
  std::uint64_t mRefusedByQueue = 0;
  std::uint64_t mRefusedWithoutIdleEndpoint = 0;
  /** Time that endpoints spent on all attempts, and on those that hedging
   * added: the cancelled ones and the hedges without use. */
  Duration mWork{0};
  Duration mExtraWork{0};

  /** Extra work as a fraction of all work. */
  [[nodiscard]] double ExtraShare() const;
};

/** For logs: a hedge that was sent, and what decided it. */
struct HedgeEvent {
  std::string mRequestId;
  std::string mRoute;
  std::string mService;
  std::string mEndpoint;
  /** Latency at kHedgeQuantile when the attempt started. */
  Duration mQuantile{0};
  /** Time that the attempt had been unanswered for. */
  Duration mDelay{0};
  /** Expected requests per slot and expected time at the endpoint. */
  double mLoadPerSlot = 0;
  Duration mExpected{0};
  /** Hedges that the limit and the retry budget still allow. */
  double mLimitRemaining = 0;
  double mRetryBudgetRemaining = 0;
};

/** Holds the state of one host that decides on hedges under a limit: latencies,
 * budgets, counters and events. Without a limit, nothing is recorded. */
class HedgeController {
 public:
  /** Sets the limit, in hedges for each hundred requests of a service; nothing
   * for none. Takes effect for services without requests so far. */
  void SetLimit(std::optional<double> aPercent) { mPercent = aPercent; }
  [[nodiscard]] bool IsLimited() const { return mPercent.has_value(); }

  void Prune(const RoutingConfiguration& aConfiguration);

  /** A request of a caller has arrived. */
  void NoteRequest(const std::string& aService, TimePoint aNow);
  /** An attempt that is not a hedge was answered, or was cancelled after this
   * time without an answer. */
  void NoteLatency(const std::string& aRoute, const std::string& aService,
                   Duration aLatency, TimePoint aNow);
  /** An attempt has ended after this time.
   * @param aIsExtra it did not answer its call, and hedging added it. */
  void NoteWork(Duration aWork, bool aIsExtra);
  void NoteWon() { ++mCounts.mWon; }
  void NoteCancelled() { ++mCounts.mCancelled; }
  void NoteRefused(HedgeDecision aDecision);
  /** Takes a hedge from the budget of its service and records it. */
  void NoteSent(HedgeEvent aEvent, TimePoint aNow);

  /** Latency at kHedgeQuantile; nothing while it is unknown. */
  [[nodiscard]] std::optional<Duration> Quantile(const std::string& aRoute,
                                                 const std::string& aService,
                                                 TimePoint aNow) const;
  /** Number of hedges that the limit still allows. */
  [[nodiscard]] double Remaining(const std::string& aService, TimePoint aNow);

  [[nodiscard]] const HedgeCounts& Counts() const { return mCounts; }
  /** Hedges sent since the last call. */
  std::vector<HedgeEvent> TakeEvents();

 private:
  HedgeBudget& BudgetOf(const std::string& aService);

  std::optional<double> mPercent;
  LatencyQuantiles mLatencies;
  /** By service. */
  std::map<std::string, HedgeBudget> mBudgets;
  HedgeCounts mCounts;
  std::vector<HedgeEvent> mEvents;
};

}  // namespace papayawheel
