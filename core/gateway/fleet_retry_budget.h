#pragma once

#include <chrono>
#include <deque>
#include <utility>

#include "core/base/clock.h"

namespace papayawheel {

/** The published bound on retries and hedges to one service, over all hosts. */
struct RetryBudgetTerms {
  /** Retries for each request in the window. */
  double mRatio = 0.2;
  /** Retries allowed in addition in each window, over all hosts. */
  double mSlack = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/** One host's share of the retry budget of a service. Counts the host's own
 * requests and retries in a sliding window, so the sum over all hosts stays
 * within the bound without communication. */
class FleetRetryBudget {
 public:
  /** @param aHosts maximum number of hosts that share the budget. */
  void Configure(const RetryBudgetTerms& aTerms, std::size_t aHosts);

  void NoteRequest(TimePoint aNow);

  /** Whether the budget allows one retry.
   * @param aReserve as for TryTake(). */
  [[nodiscard]] bool Allows(double aReserve, TimePoint aNow);

  /** Takes one retry from the budget if it allows one.
   * @param aReserve fraction of the budget, from 0 to 1, that must remain. */
  bool TryTake(double aReserve, TimePoint aNow);

  /** Number of retries that remain; may be negative or fractional. */
  [[nodiscard]] double Remaining(TimePoint aNow);

 private:
  void RemoveExpired(TimePoint aNow);

  RetryBudgetTerms mTerms;
  double mHostSlack = 0;
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRetries;
};

}  // namespace papayawheel
