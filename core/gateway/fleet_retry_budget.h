#pragma once

#include <chrono>
#include <deque>
#include <utility>

#include "core/base/clock.h"

namespace papayawheel {

/** The published bound on repeated sends to one service by all hosts. */
struct RetryBudgetTerms {
  /** Repeats for each request of the window. */
  double mRatio = 0.2;
  /** Repeats beyond that in a window, over all hosts. */
  double mSlack = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/** One host's part of the budget. It counts the host's own requests and
 * repeats in a sliding window, so the sum over all hosts stays within the
 * bound without a message. */
class FleetRetryBudget {
 public:
  /** @param aHosts the most hosts that may share the budget. */
  void Configure(const RetryBudgetTerms& aTerms, std::size_t aHosts);

  void NoteRequest(TimePoint aNow);

  /** Takes a repeat if there is one left.
   * @param aReserve part of the budget that must stay. */
  bool TryTake(double aReserve, TimePoint aNow);

  /** Repeats that are left now. */
  [[nodiscard]] double Remaining(TimePoint aNow);

 private:
  void RemoveExpired(TimePoint aNow);

  RetryBudgetTerms mTerms;
  double mHostSlack = 0;
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRetries;
};

}  // namespace papayawheel
