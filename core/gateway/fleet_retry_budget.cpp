#include "core/gateway/fleet_retry_budget.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** Fraction of the budget that is used. The rest keeps the sum over all hosts
 * within the bound although each host counts in a window of its own. */
constexpr double kUsableFraction = 0.8;

}  // namespace

void FleetRetryBudget::Configure(const RetryBudgetTerms& aTerms,
                                 std::size_t aHosts) {
  mTerms = aTerms;
  mHostSlack =
      aTerms.mSlack / static_cast<double>(std::max<std::size_t>(1, aHosts));
}

void FleetRetryBudget::NoteRequest(TimePoint aNow) {
  RemoveExpired(aNow);
  mRequests.push_back(aNow);
}

bool FleetRetryBudget::Allows(double aReserve, TimePoint aNow) {
  const double all =
      mTerms.mRatio * static_cast<double>(mRequests.size()) + mHostSlack;
  return Remaining(aNow) >= 1 + aReserve * kUsableFraction * all;
}

bool FleetRetryBudget::TryTake(double aReserve, TimePoint aNow) {
  if (!Allows(aReserve, aNow)) {
    return false;
  }
  mRetries.push_back(aNow);
  return true;
}

double FleetRetryBudget::Remaining(TimePoint aNow) {
  RemoveExpired(aNow);
  const double all =
      mTerms.mRatio * static_cast<double>(mRequests.size()) + mHostSlack;
  return kUsableFraction * all - static_cast<double>(mRetries.size());
}

void FleetRetryBudget::RemoveExpired(TimePoint aNow) {
  for (std::deque<TimePoint>* const times : {&mRequests, &mRetries}) {
    while (!times->empty() && aNow - times->front() >= mTerms.mWindow) {
      times->pop_front();
    }
  }
}

}  // namespace papayawheel
