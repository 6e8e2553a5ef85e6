#include "core/gateway/hedge_controller.h"

#include <utility>

namespace papayawheel {

double HedgeCounts::ExtraShare() const {
  return mWork.count() == 0 ? 0
                            : static_cast<double>(mExtraWork.count()) /
                                  static_cast<double>(mWork.count());
}

void HedgeController::Prune(const RoutingConfiguration& aConfiguration) {
  mLatencies.Prune(aConfiguration);
}

void HedgeController::NoteRequest(const std::string& aService, TimePoint aNow) {
  if (IsLimited()) {
    BudgetOf(aService).NoteRequest(aNow);
  }
}

void HedgeController::NoteLatency(const std::string& aRoute,
                                  const std::string& aService,
                                  Duration aLatency, TimePoint aNow) {
  if (IsLimited()) {
    mLatencies.Note(aRoute, aService, aLatency, aNow);
  }
}

void HedgeController::NoteWork(Duration aWork, bool aIsExtra) {
  if (!IsLimited()) {
    return;
  }
  mCounts.mWork += aWork;
  mCounts.mExtraWork += aIsExtra ? aWork : Duration::zero();
}

void HedgeController::NoteRefused(HedgeDecision aDecision) {
  switch (aDecision) {
    case HedgeDecision::RefusedByLimit:
      ++mCounts.mRefusedByLimit;
      break;
    case HedgeDecision::RefusedByRetryBudget:
      ++mCounts.mRefusedByRetryBudget;
      break;
    case HedgeDecision::RefusedByQueue:
      ++mCounts.mRefusedByQueue;
      break;
    case HedgeDecision::RefusedWithoutIdleEndpoint:
      ++mCounts.mRefusedWithoutIdleEndpoint;
      break;
    case HedgeDecision::Send:
    case HedgeDecision::Probe:
    case HedgeDecision::Wait:
    case HedgeDecision::NotApplicable:
      break;
  }
}

void HedgeController::NoteSent(HedgeEvent aEvent, TimePoint aNow) {
  ++mCounts.mSent;
  BudgetOf(aEvent.mService).TryTake(aNow);
  aEvent.mLimitRemaining = Remaining(aEvent.mService, aNow);
  mEvents.push_back(std::move(aEvent));
}

std::optional<Duration> HedgeController::Quantile(const std::string& aRoute,
                                                  const std::string& aService,
                                                  TimePoint aNow) const {
  return mLatencies.Quantile(aRoute, aService, kHedgeQuantile, aNow);
}

double HedgeController::Remaining(const std::string& aService, TimePoint aNow) {
  return BudgetOf(aService).Remaining(aNow);
}

std::vector<HedgeEvent> HedgeController::TakeEvents() {
  return std::exchange(mEvents, {});
}

HedgeBudget& HedgeController::BudgetOf(const std::string& aService) {
  return mBudgets.try_emplace(aService, mPercent.value_or(0)).first->second;
}

}  // namespace papayawheel
