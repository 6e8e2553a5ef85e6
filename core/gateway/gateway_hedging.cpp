// The part of GatewayEngine that sends hedges: second, parallel attempts for
// calls that are unanswered.

#include <algorithm>
#include <utility>

#include "core/base/scaled.h"
#include "core/gateway/gateway_engine.h"

namespace papayawheel {
namespace {

/** Without a limit, a hedge is sent after this many times the expected time. */
constexpr double kHedgeDelayFactor = 1.6;

/** Endpoints that are probed to find an idle one for a hedge. */
constexpr std::size_t kHedgeProbes = 2;

Duration Elapsed(TimePoint aSince, TimePoint aNow) {
  return std::chrono::duration_cast<Duration>(aNow - aSince);
}

}  // namespace

void GatewayEngine::ScheduleHedge(CallId aId, const Call& aCall,
                                  AttemptId aAttempt, Duration aExpected,
                                  TimePoint aNow) {
  const bool mayHedge = aCall.mRoute.mKind == RouteKind::Idempotent &&
                        aCall.Reached() < aCall.mRoute.mMaxAttempts;
  if (!mayHedge) {
    return;
  }
  const Duration expected =
      std::max(aExpected, EstimatedServiceTime(aCall.mRoute));
  std::optional<Duration> delay = Scaled(expected, kHedgeDelayFactor);
  if (mHedging.IsLimited()) {
    delay = HedgeDelay(
        mHedging.Quantile(aCall.mRoute.mName, aCall.mService, aNow), expected);
  }
  if (delay) {
    mTimers.emplace(aNow + *delay,
                    Timer{TimerKind::Hedge, aId, {}, 0, aAttempt});
  }
}

void GatewayEngine::Hedge(CallId aId, AttemptId aAttempt, TimePoint aNow,
                          GatewayActions& aActions) {
  Call& call = mCalls.at(aId);
  if (mHedging.IsLimited()) {
    TryLimitedHedge(aId, call, aAttempt, IdleEndpoint::Unknown, aNow, aActions);
    return;
  }
  const bool mayHedge = call.mRunning.size() == 1 && !call.mQueued &&
                        call.Reached() < call.mRoute.mMaxAttempts &&
                        !call.mCallerDisconnected &&
                        !mCrashDetector.IsSuspect(call.mFingerprint, aNow);
  if (mayHedge) {
    Enqueue(aId, call, Purpose::Hedge, ErrorKind::TimedOut, aNow, aActions);
  }
}

HedgeSituation GatewayEngine::SituationOf(const Call& aCall, AttemptId aAttempt,
                                          TimePoint aNow) {
  ServiceState& service = ServiceOf(aCall.mService);
  const std::size_t reached = aCall.Reached();
  HedgeSituation situation;
  situation.mMayRepeat = aCall.mRoute.mKind == RouteKind::Idempotent;
  situation.mAwaitsFirst = aCall.mRunning.size() == 1 && !aCall.mQueued &&
                           aCall.mRunning.front() == aAttempt;
  situation.mIsHedged = aCall.mHedge != 0;
  situation.mIsSuspect = aCall.mIsSuspect ||
                         mCrashDetector.IsSuspect(aCall.mFingerprint, aNow) ||
                         mCrashDetector.IsQuarantined(aCall.mFingerprint, aNow);
  situation.mCallerDisconnected = aCall.mCallerDisconnected;
  situation.mAttemptsLeft =
      aCall.mRoute.mMaxAttempts -
      std::min<std::size_t>(aCall.mRoute.mMaxAttempts, reached);
  situation.mQueuedCalls = service.mQueue.Size();
  situation.mLimitRemaining = mHedging.Remaining(aCall.mService, aNow);
  situation.mHasRetryBudget = service.mBudget.Allows(kHedgeReserve, aNow);
  situation.mTimeLeft = Elapsed(aNow, aCall.mDeadline);
  return situation;
}

void GatewayEngine::TryLimitedHedge(CallId aId, Call& aCall, AttemptId aAttempt,
                                    IdleEndpoint aKnown, TimePoint aNow,
                                    GatewayActions& aActions) {
  const auto choice =
      ServiceOf(aCall.mService)
          .mPool.PickIdle(EndpointsToAvoid(aCall, aNow),
                          EstimatedServiceTime(aCall.mRoute), aNow);
  HedgeSituation situation = SituationOf(aCall, aAttempt, aNow);
  situation.mEndpoint = choice ? IdleEndpoint::Found : aKnown;
  situation.mExpected = choice ? choice->mExpected : Duration::zero();
  const HedgeDecision decision = DecideHedge(situation);
  if (decision == HedgeDecision::Wait) {
    return;
  }
  aCall.mHedgeProbes = 0;
  if (decision == HedgeDecision::Send) {
    SendHedge(aId, aCall, *choice, aNow, aActions);
  } else if (decision == HedgeDecision::Probe) {
    SendHedgeProbes(aId, aCall, aAttempt, aNow, aActions);
  } else {
    mHedging.NoteRefused(decision);
  }
}

void GatewayEngine::SendHedge(CallId aId, Call& aCall,
                              const EndpointPool::Choice& aChoice,
                              TimePoint aNow, GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aCall.mService);
  const TimePoint sentAt = mAttempts.at(aCall.mRunning.front()).mSentAt;
  aCall.mPurpose = Purpose::Hedge;
  if (!TryChargeRetryBudget(service, aCall, aNow)) {
    mHedging.NoteRefused(HedgeDecision::RefusedByRetryBudget);
    return;
  }
  HedgeEvent event;
  event.mRequestId = aCall.mRequest.mRequestId;
  event.mRoute = aCall.mRoute.mName;
  event.mService = aCall.mService;
  event.mEndpoint = aChoice.mId;
  event.mQuantile = mHedging.Quantile(event.mRoute, event.mService, aNow)
                        .value_or(Duration::zero());
  event.mDelay = Elapsed(sentAt, aNow);
  event.mLoadPerSlot = aChoice.mLoadPerSlot;
  event.mExpected = aChoice.mExpected;
  event.mRetryBudgetRemaining = service.mBudget.Remaining(aNow);
  mHedging.NoteSent(std::move(event), aNow);
  // SendTo() must not schedule a hedge of the hedge.
  aCall.mHedge = mLastAttempt + 1;
  SendTo(aId, aCall, aChoice, aNow, aActions);
}

void GatewayEngine::SendHedgeProbes(CallId aId, Call& aCall, AttemptId aAttempt,
                                    TimePoint aNow, GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aCall.mService);
  const std::string_view healthPath = HealthPath(aCall.mService);
  auto candidates = service.mPool.StaleCandidates(
      EndpointsToAvoid(aCall, aNow), EstimatedServiceTime(aCall.mRoute),
      kHedgeProbes, aNow);
  candidates.resize(healthPath.empty()
                        ? 0
                        : service.mProbeBudget.Take(candidates.size(), aNow));
  if (candidates.empty()) {
    mHedging.NoteRefused(HedgeDecision::RefusedWithoutIdleEndpoint);
    return;
  }
  aCall.mHedgeProbes = candidates.size();
  for (const EndpointPool::Candidate& candidate : candidates) {
    SendProbe(aCall.mService, candidate.mId, candidate.mAddress, healthPath,
              aNow, aActions);
    Probe& probe = mProbes.at(mLastProbe);
    probe.mHedgedCall = aId;
    probe.mHedgedAttempt = aAttempt;
  }
}

void GatewayEngine::HedgeProbeEnded(const Probe& aProbe, TimePoint aNow,
                                    GatewayActions& aActions) {
  const auto found = mCalls.find(aProbe.mHedgedCall);
  if (found == mCalls.end() || found->second.mHedgeProbes == 0) {
    return;
  }
  Call& call = found->second;
  --call.mHedgeProbes;
  TryLimitedHedge(
      found->first, call, aProbe.mHedgedAttempt,
      call.mHedgeProbes > 0 ? IdleEndpoint::Awaited : IdleEndpoint::None, aNow,
      aActions);
}

void GatewayEngine::NoteHedgeOutcome(const Call& aCall, AttemptId aId,
                                     const Attempt& aAttempt,
                                     AttemptResult aResult, bool aFailed,
                                     TimePoint aNow) {
  const bool isHedge = aId == aCall.mHedge;
  const bool answered = aResult == AttemptResult::Answered && !aFailed;
  const Duration elapsed = Elapsed(aAttempt.mSentAt, aNow);
  if (isHedge && answered) {
    mHedging.NoteWon();
  }
  if (!isHedge && (answered || aResult == AttemptResult::TimedOut)) {
    mHedging.NoteLatency(aCall.mRoute.mName, aCall.mService, elapsed, aNow);
  }
  mHedging.NoteWork(elapsed, isHedge && !answered);
}

void GatewayEngine::NoteCancelled(const Call& aCall, AttemptId aId,
                                  const Attempt& aAttempt) {
  const bool isHedge = aId == aCall.mHedge;
  const bool isLoser = aCall.mIsAnswered && aCall.mHedge != 0;
  const Duration elapsed = Elapsed(aAttempt.mSentAt, mNow);
  if (isLoser) {
    mHedging.NoteCancelled();
  }
  // A caller that leaves early says nothing about the latency. After an answer
  // to the hedge, the attempt had run for longer than the quantile, so the time
  // so far leaves the quantile as the full time would.
  if (!isHedge && !aCall.mCallerDisconnected) {
    mHedging.NoteLatency(aCall.mRoute.mName, aCall.mService, elapsed, mNow);
  }
  mHedging.NoteWork(elapsed, isLoser || isHedge);
}

}  // namespace papayawheel
