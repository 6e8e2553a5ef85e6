// The part of GatewayEngine that handles requests that may crash endpoints.

#include "core/base/scaled.h"
#include "core/gateway/gateway_engine.h"

namespace papayawheel {
namespace {

/** If a call ends while an attempt has run for more than this many times the
 * expected time, the endpoint may have crashed. */
constexpr double kOverdueFactor = 2;

}  // namespace

std::optional<EndpointPool::Choice> GatewayEngine::ChooseEndpoint(
    const ServiceState& aService, const Call& aCall, TimePoint aNow) const {
  const Duration work = EstimatedServiceTime(aCall.mRoute);
  const auto choice =
      aService.mPool.Pick(EndpointsToAvoid(aCall, aNow), work, aNow);
  return choice ? choice : aService.mPool.Pick(aCall.mAvoided, work, aNow);
}

std::vector<std::string> GatewayEngine::EndpointsToAvoid(const Call& aCall,
                                                         TimePoint aNow) const {
  std::vector<std::string> avoided = aCall.mAvoided;
  if (aCall.mIsSuspect || mCrashDetector.IsSuspect(aCall.mFingerprint, aNow)) {
    for (const auto& [id, attempt] : mAttempts) {
      if (attempt.mIsSuspect) {
        avoided.push_back(attempt.mEndpoint);
      }
    }
  }
  return avoided;
}

void GatewayEngine::AddSuspicion(Call& aCall, const Attempt& aAttempt,
                                 TimePoint aNow) {
  const EndpointPool& pool = ServiceOf(aCall.mService).mPool;
  if (aAttempt.mEndpointDraining || pool.IsDraining(aAttempt.mEndpoint)) {
    // A draining endpoint ends on purpose, which is no crash.
    return;
  }
  aCall.mIsSuspect = true;
  mCrashDetector.NoteLostAttempt(
      aAttempt.mEntry,
      LostAttempt{aCall.mFingerprint, aCall.mRequest.mRequestId,
                  aAttempt.mSentAt, aNow},
      aNow);
  // The view may already show that the endpoint has ended.
  mCrashDetector.NotePublished(*mView->mEndpoints, aNow);
}

void GatewayEngine::SuspectOverdueAttempts(Call& aCall, TimePoint aNow) {
  for (const AttemptId running : aCall.mRunning) {
    const Attempt& attempt = mAttempts.at(running);
    if (aNow - attempt.mSentAt > Scaled(attempt.mExpected, kOverdueFactor)) {
      AddSuspicion(aCall, attempt, aNow);
    }
  }
}

void GatewayEngine::SendHealthChecks(TimePoint aNow, GatewayActions& aActions) {
  for (const CrashDetector::HealthCheck& check :
       mCrashDetector.TakeHealthChecks(aNow)) {
    const std::string_view healthPath = HealthPath(check.mService);
    ServiceState& service = ServiceOf(check.mService);
    if (!healthPath.empty() && !service.mPool.IsEvacuated(check.mEndpoint)) {
      service.mProbeBudget.Charge(aNow);
      SendProbe(check.mService, check.mEndpoint, check.mAddress, healthPath,
                aNow, aActions);
      mProbes.at(mLastProbe).mIsHealthCheck = true;
    }
    mTimers.emplace(*mCrashDetector.NextHealthCheck(),
                    Timer{TimerKind::SuspectCheck});
  }
}

}  // namespace papayawheel
