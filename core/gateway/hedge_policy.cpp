#include "core/gateway/hedge_policy.h"

#include <algorithm>

namespace papayawheel {

HedgeDecision DecideHedge(const HedgeSituation& aSituation) {
  const bool applies = aSituation.mMayRepeat && aSituation.mAwaitsFirst &&
                       !aSituation.mIsHedged && !aSituation.mIsSuspect &&
                       !aSituation.mCallerDisconnected &&
                       aSituation.mAttemptsLeft > 0 &&
                       aSituation.mExpected < aSituation.mTimeLeft;
  if (!applies) {
    return HedgeDecision::NotApplicable;
  }
  if (aSituation.mLimitRemaining < 1) {
    return HedgeDecision::RefusedByLimit;
  }
  if (!aSituation.mHasRetryBudget) {
    return HedgeDecision::RefusedByRetryBudget;
  }
  if (aSituation.mQueuedCalls > 0) {
    return HedgeDecision::RefusedByQueue;
  }
  switch (aSituation.mEndpoint) {
    case IdleEndpoint::Unknown:
      return HedgeDecision::Probe;
    case IdleEndpoint::Awaited:
      return HedgeDecision::Wait;
    case IdleEndpoint::Found:
      return HedgeDecision::Send;
    case IdleEndpoint::None:
      break;
  }
  return HedgeDecision::RefusedWithoutIdleEndpoint;
}

std::optional<Duration> HedgeDelay(std::optional<Duration> aQuantile,
                                   Duration aExpected) {
  if (!aQuantile) {
    return std::nullopt;
  }
  return std::max(*aQuantile, aExpected);
}

}  // namespace papayawheel
