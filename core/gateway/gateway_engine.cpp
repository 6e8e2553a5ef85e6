#include "core/gateway/gateway_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** How long a request waits for the view to be vouched for again. */
constexpr milliseconds kHoldTime{200};

/** Part of the target latency that an idle endpoint is taken to need before a
 * route's time is known. */
constexpr double kFirstGuess = 0.3;

/** Endpoints that a request may find unreachable. */
constexpr std::uint32_t kMostUnreached = 4;

/** How full an endpoint may be, in slots, for the most urgent requests and for
 * the others: endpoints queue a few requests and then stop answering. */
constexpr double kMostFillUrgent = 2.25;
constexpr double kMostFill = 1.75;

/** A second endpoint is asked after this many times the typical time. */
constexpr double kHedgeAfter = 1.6;

/** Endpoints that are asked for their load at once, how often, and how long
 * the answers are waited for. */
constexpr std::size_t kProbesPerRound = 3;
constexpr std::uint32_t kMostProbeRounds = 2;
constexpr milliseconds kProbeTime{12};

/** Other endpoints are asked if the best one takes this many times as long as
 * a quiet one. */
constexpr double kPoorSlowdown = 2.2;

/** Part of the retry budget that is kept for requests that have failed. */
constexpr double kHedgeReserve = 0.4;

/** Least part of a typical time that must be left for a further attempt. */
constexpr double kLeastTimeLeft = 0.6;

/** Callers who are refused come back after this part of the target latency,
 * spread by as much again. */
constexpr double kRetryAfterPart = 0.12;

Duration Scaled(Duration aDuration, double aFactor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(aDuration.count()) * aFactor));
}

std::uint64_t FingerprintOf(const GatewayRequest& aRequest) {
  return StableHash(fmt::format("{}\n{}\n{}\n{}", aRequest.mMethod,
                                aRequest.mHost, aRequest.mTarget,
                                aRequest.mBodyHash));
}

bool IsServerError(int aStatus) { return aStatus >= 500; }

}  // namespace

GatewayEngine::GatewayEngine(std::string aDataCentre, std::uint32_t aSeed)
    : mDataCentre(std::move(aDataCentre)),
      mRandom(aSeed),
      mView(std::make_shared<RoutingView>()) {}

void GatewayEngine::Apply(std::shared_ptr<const RoutingView> aView,
                          TimePoint aNow) {
  mView = std::move(aView);
  if (mView->mRoutes == nullptr) {
    return;
  }
  const RoutingConfiguration& source = mView->mRoutes->Source();
  mSplit.Keep(source);
  for (const Route& route : source.mRoutes) {
    for (const ServiceShare& share : route.mShares) {
      ServiceOf(share.mService);
    }
  }
  for (auto& [name, service] : mServices) {
    service.mPool.Configure(*mView->mEndpoints, name, aNow);
  }
}

void GatewayEngine::SetRetryBudget(const RetryBudgetTerms& aTerms,
                                   std::size_t aHosts) {
  mBudgetTerms = aTerms;
  mHosts = aHosts;
  for (auto& [name, service] : mServices) {
    service.mBudget.Configure(aTerms, aHosts);
  }
}

GatewayEngine::ServiceState& GatewayEngine::ServiceOf(
    const std::string& aName) {
  const auto found = mServices.find(aName);
  if (found != mServices.end()) {
    return found->second;
  }
  const auto seed = static_cast<std::uint32_t>(mRandom());
  ServiceState& service =
      mServices.emplace(aName, ServiceState(mDataCentre, seed)).first->second;
  service.mBudget.Configure(mBudgetTerms, mHosts);
  return service;
}

Duration GatewayEngine::WorkOf(const Route& aRoute) const {
  const auto found = mTypical.find(aRoute.mName);
  return found == mTypical.end() ? Scaled(aRoute.mTargetLatency, kFirstGuess)
                                 : found->second.Value();
}

GatewayActions GatewayEngine::SetTrusted(bool aTrusted, TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  mTrusted = aTrusted;
  if (!aTrusted) {
    return actions;
  }
  std::vector<CallId> held;
  for (const auto& [id, call] : mCalls) {
    if (call.mHeld) {
      held.push_back(id);
    }
  }
  std::sort(held.begin(), held.end());
  for (const CallId id : held) {
    mCalls.at(id).mHeld = false;
    Admit(id, aNow, actions);
  }
  return actions;
}

GatewayActions GatewayEngine::Arrive(CallId aId, const GatewayRequest& aRequest,
                                     TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  ++mCounts.mArrived;
  Call& call = mCalls[aId];
  call.mRequest = aRequest;
  call.mArrivedAt = aNow;
  const Route* const route =
      mView->mRoutes == nullptr
          ? nullptr
          : mView->mRoutes->Find(aRequest.mHost, aRequest.mTarget);
  if (const auto error = Check(aRequest, route)) {
    Fail(aId, *error, actions);
    return actions;
  }
  call.mRoute = *route;
  call.mFingerprint = FingerprintOf(aRequest);
  call.mDeadline = aNow + std::min(aRequest.mPatience.value_or(route->mTimeout),
                                   route->mTimeout);
  call.mService = mSplit.Next(*route);
  ServiceOf(call.mService).mBudget.NoteRequest(aNow);
  mTimers.emplace(call.mDeadline, Timer{TimerKind::Deadline, aId});
  if (!mTrusted) {
    call.mHeld = true;
    mTimers.emplace(aNow + kHoldTime, Timer{TimerKind::Release, aId});
    return actions;
  }
  Admit(aId, aNow, actions);
  return actions;
}

std::optional<ErrorKind> GatewayEngine::Check(const GatewayRequest& aRequest,
                                              const Route* aRoute) const {
  if (mView->mRoutes == nullptr || !mTaking) {
    return ErrorKind::HostNotReady;
  }
  if (aRoute == nullptr) {
    return ErrorKind::NoRoute;
  }
  if (aRequest.mRequestId.empty()) {
    return ErrorKind::RequestIdMissing;
  }
  if (aRequest.mPatience && *aRequest.mPatience <= Duration::zero()) {
    return ErrorKind::DeadlineTooShort;
  }
  return std::nullopt;
}

void GatewayEngine::Admit(CallId aId, TimePoint aNow,
                          GatewayActions& aActions) {
  Call& call = mCalls.at(aId);
  if (mCrashes.IsStopped(call.mFingerprint, aNow)) {
    Fail(aId, ErrorKind::Quarantined, aActions);
    return;
  }
  ProbeAndSend(aId, call, ErrorKind::Overloaded, aNow, aActions);
}

void GatewayEngine::ProbeAndSend(CallId aId, Call& aCall, ErrorKind aIfNotSent,
                                 TimePoint aNow, GatewayActions& aActions) {
  aCall.mIfNotSent = aIfNotSent;
  aCall.mProbeRounds = 0;
  if (!StartProbes(aId, aCall, aNow, aActions)) {
    ProbesDone(aId, aNow, aActions);
  }
}

bool GatewayEngine::StartProbes(CallId aId, Call& aCall, TimePoint aNow,
                                GatewayActions& aActions) {
  const auto terms = mView->mRoutes->Source().mServices.find(aCall.mService);
  const bool canAsk = terms != mView->mRoutes->Source().mServices.end() &&
                      !terms->second.mHealthPath.empty();
  if (!canAsk || aCall.mProbeRounds == kMostProbeRounds) {
    return false;
  }
  ++aCall.mProbeRounds;
  const auto candidates =
      ServiceOf(aCall.mService)
          .mPool.StaleCandidates(aCall.mTried, WorkOf(aCall.mRoute),
                                 kProbesPerRound, aNow);
  for (const EndpointPool::Candidate& candidate : candidates) {
    const ProbeId probe = ++mLastProbe;
    mProbes[probe] = Probe{aId, aCall.mService, candidate.mId};
    aCall.mProbes.push_back(probe);
    ++mCounts.mProbes;
    aActions.emplace_back(StartProbe{probe, candidate.mId, candidate.mAddress,
                                     terms->second.mHealthPath});
  }
  if (candidates.empty()) {
    return false;
  }
  mTimers.emplace(aNow + kProbeTime, Timer{TimerKind::Probe, aId});
  return true;
}

GatewayActions GatewayEngine::ProbeEnded(
    ProbeId aId, const std::optional<LoadSample>& aSample, TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  const auto found = mProbes.find(aId);
  if (found == mProbes.end()) {
    return actions;
  }
  const Probe probe = found->second;
  mProbes.erase(found);
  if (aSample) {
    ServiceOf(probe.mService).mPool.NoteSample(probe.mEndpoint, *aSample, aNow);
  }
  const auto call = mCalls.find(probe.mCall);
  if (call == mCalls.end() || std::erase(call->second.mProbes, aId) == 0) {
    return actions;
  }
  if (call->second.mProbes.empty()) {
    ProbesDone(probe.mCall, aNow, actions);
  }
  return actions;
}

void GatewayEngine::ProbesDone(CallId aId, TimePoint aNow,
                               GatewayActions& aActions) {
  Call& call = mCalls.at(aId);
  call.mProbes.clear();
  const auto choice = ServiceOf(call.mService)
                          .mPool.Pick(call.mTried, WorkOf(call.mRoute), aNow);
  const bool poor = choice && choice->mSlowdown > kPoorSlowdown;
  if (poor && StartProbes(aId, call, aNow, aActions)) {
    return;
  }
  if (const auto error = Send(aId, call, aNow, aActions)) {
    GiveUp(aId, call, call.mTried.empty() ? *error : call.mIfNotSent, aActions);
  }
}

void GatewayEngine::GiveUp(CallId aId, Call& aCall, ErrorKind aError,
                           GatewayActions& aActions) {
  if (!aCall.mRunning.empty()) {
    // Another attempt may still answer.
    return;
  }
  if (aCall.mFailure != nullptr) {
    Succeed(aId, aCall.mFailure, aActions);
    return;
  }
  Fail(aId, aError, aActions);
}

std::optional<ErrorKind> GatewayEngine::Send(CallId aId, Call& aCall,
                                             TimePoint aNow,
                                             GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aCall.mService);
  const Duration work = WorkOf(aCall.mRoute);
  const auto choice = service.mPool.Pick(aCall.mTried, work, aNow);
  if (!choice) {
    return ErrorKind::NoEndpoint;
  }
  if (!HasRoom(aCall, *choice, aNow)) {
    return ErrorKind::Overloaded;
  }
  const AttemptId attempt = ++mLastAttempt;
  mAttempts[attempt] = Attempt{aId, choice->mId, aNow, choice->mSlowdown};
  aCall.mRunning.push_back(attempt);
  aCall.mTried.push_back(choice->mId);
  service.mPool.Sent(choice->mId, aNow);
  StartAttempt start;
  start.mAttempt = attempt;
  start.mCall = aId;
  start.mEndpoint = choice->mId;
  start.mAddress = choice->mAddress;
  start.mTimeLeft =
      std::chrono::duration_cast<Duration>(aCall.mDeadline - aNow);
  start.mNeedsFreshConnection = aCall.mRoute.mKind == RouteKind::AtMostOnce;
  aActions.emplace_back(std::move(start));
  const bool mayHedge = aCall.mRoute.mKind == RouteKind::Idempotent &&
                        aCall.mTried.size() < aCall.mRoute.mMaxAttempts;
  if (mayHedge) {
    mTimers.emplace(
        aNow + Scaled(std::max(choice->mExpected, work), kHedgeAfter),
        Timer{TimerKind::Hedge, aId});
  }
  return std::nullopt;
}

bool GatewayEngine::HasRoom(const Call& aCall,
                            const EndpointPool::Choice& aChoice,
                            TimePoint aNow) const {
  const bool urgent = aCall.mRoute.mKind == RouteKind::AtMostOnce;
  if (aChoice.mFill > (urgent ? kMostFillUrgent : kMostFill)) {
    return false;
  }
  return aNow + Scaled(aChoice.mExpected, kLeastTimeLeft) < aCall.mDeadline;
}

GatewayActions GatewayEngine::AttemptEnded(AttemptId aId,
                                           const AttemptReply& aReply,
                                           TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  const auto found = mAttempts.find(aId);
  if (found == mAttempts.end()) {
    return actions;
  }
  const Attempt attempt = found->second;
  mAttempts.erase(found);
  Call& call = mCalls.at(attempt.mCall);
  std::erase(call.mRunning, aId);
  const bool failed =
      aReply.mResponse != nullptr && IsServerError(aReply.mResponse->mStatus);
  const Duration work = WorkOf(call.mRoute);
  ServiceOf(call.mService)
      .mPool.Finished(attempt.mEndpoint, aReply.mResult, failed, aReply.mSample,
                      work, attempt.mSentAt, aNow);
  switch (aReply.mResult) {
    case AttemptResult::Answered:
      mCrashes.NoteAlive(attempt.mEndpoint);
      if (!failed) {
        mTypical
            .try_emplace(call.mRoute.mName,
                         Scaled(call.mRoute.mTargetLatency, kFirstGuess))
            .first->second.Note(Scaled(
                std::chrono::duration_cast<Duration>(aNow - attempt.mSentAt),
                1 / std::max(1.0, attempt.mSlowdown)));
      }
      EndpointAnswered(attempt.mCall, call, aReply, aNow, actions);
      break;
    case AttemptResult::NotExecuted:
      RetryOrFail(attempt.mCall, call, ErrorKind::Overloaded, aNow, actions);
      break;
    case AttemptResult::NotConnected:
      mCrashes.NoteUnreachable(attempt.mEndpoint, aNow);
      ++call.mUnreached;
      RetryOrFail(attempt.mCall, call, ErrorKind::NeverSent, aNow, actions);
      break;
    case AttemptResult::Lost:
      mCrashes.NoteLost(EndpointCrash{call.mFingerprint, attempt.mEndpoint},
                        aNow);
      call.mMayHaveRun = true;
      RetryOrFail(attempt.mCall, call, ErrorKind::EndpointLost, aNow, actions);
      break;
    case AttemptResult::Garbled:
      call.mMayHaveRun = true;
      RetryOrFail(attempt.mCall, call, ErrorKind::AnswerCut, aNow, actions);
      break;
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
      call.mMayHaveRun = true;
      RetryOrFail(attempt.mCall, call, ErrorKind::TimedOut, aNow, actions);
      break;
  }
  return actions;
}

void GatewayEngine::EndpointAnswered(CallId aId, Call& aCall,
                                     const AttemptReply& aReply, TimePoint aNow,
                                     GatewayActions& aActions) {
  aCall.mMayHaveRun = true;
  const bool failed = IsServerError(aReply.mResponse->mStatus);
  const bool mayAskElsewhere =
      failed && aCall.mRoute.mKind == RouteKind::Idempotent;
  if (!mayAskElsewhere) {
    Succeed(aId, aReply.mResponse, aActions);
    return;
  }
  aCall.mFailure = aReply.mResponse;
  RetryOrFail(aId, aCall, ErrorKind::EndpointLost, aNow, aActions);
}

bool GatewayEngine::MayRepeat(const Call& aCall, TimePoint aNow) const {
  const bool harmless =
      aCall.mRoute.mKind == RouteKind::Idempotent || !aCall.mMayHaveRun;
  const std::size_t reached = aCall.mTried.size() - aCall.mUnreached;
  return harmless && !aCall.mCallerLeft &&
         reached < aCall.mRoute.mMaxAttempts &&
         aCall.mUnreached <= kMostUnreached && aNow < aCall.mDeadline &&
         !mCrashes.IsSuspect(aCall.mFingerprint, aNow);
}

void GatewayEngine::RetryOrFail(CallId aId, Call& aCall, ErrorKind aError,
                                TimePoint aNow, GatewayActions& aActions) {
  if (!aCall.mRunning.empty()) {
    // Another attempt may still answer.
    return;
  }
  const bool neverReached = aCall.mTried.size() == aCall.mUnreached;
  if (MayRepeat(aCall, aNow) &&
      (neverReached || ServiceOf(aCall.mService).mBudget.TryTake(0, aNow))) {
    mCounts.mRetries += neverReached ? 0 : 1;
    ProbeAndSend(aId, aCall, aError, aNow, aActions);
    return;
  }
  GiveUp(aId, aCall, aError, aActions);
}

void GatewayEngine::Hedge(CallId aId, TimePoint aNow,
                          GatewayActions& aActions) {
  Call& call = mCalls.at(aId);
  const std::size_t reached = call.mTried.size() - call.mUnreached;
  if (call.mRunning.size() != 1 || !call.mProbes.empty() ||
      reached >= call.mRoute.mMaxAttempts || call.mCallerLeft ||
      mCrashes.IsSuspect(call.mFingerprint, aNow)) {
    return;
  }
  ServiceState& service = ServiceOf(call.mService);
  const auto choice =
      service.mPool.Pick(call.mTried, WorkOf(call.mRoute), aNow);
  const bool helps =
      choice && choice->mFill < 1 && aNow + choice->mExpected < call.mDeadline;
  if (!helps || !service.mBudget.TryTake(kHedgeReserve, aNow)) {
    return;
  }
  ++mCounts.mHedges;
  ProbeAndSend(aId, call, ErrorKind::Overloaded, aNow, aActions);
}

GatewayActions GatewayEngine::CallerLeft(CallId aId, TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return actions;
  }
  Call& call = found->second;
  call.mCallerLeft = true;
  const bool runsOn =
      call.mRoute.mKind == RouteKind::AtMostOnce && !call.mRunning.empty();
  if (!runsOn) {
    Finish(aId, actions);
  }
  return actions;
}

GatewayActions GatewayEngine::Tick(TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  while (!mTimers.empty() && mTimers.begin()->first <= aNow) {
    const Timer timer = mTimers.begin()->second;
    mTimers.erase(mTimers.begin());
    const auto found = mCalls.find(timer.mCall);
    if (found == mCalls.end()) {
      continue;
    }
    Call& call = found->second;
    switch (timer.mKind) {
      case TimerKind::Hedge:
        Hedge(timer.mCall, aNow, actions);
        break;
      case TimerKind::Probe:
        if (!call.mProbes.empty()) {
          ProbesDone(timer.mCall, aNow, actions);
        }
        break;
      case TimerKind::Release:
        if (call.mHeld) {
          Fail(timer.mCall, ErrorKind::HostNotReady, actions);
        }
        break;
      case TimerKind::Deadline:
        call.mMayHaveRun = call.mMayHaveRun || !call.mRunning.empty();
        Fail(timer.mCall,
             call.mMayHaveRun ? ErrorKind::TimedOut : ErrorKind::Overloaded,
             actions);
        break;
    }
  }
  return actions;
}

std::optional<TimePoint> GatewayEngine::NextDue() const {
  if (mTimers.empty()) {
    return std::nullopt;
  }
  return mTimers.begin()->first;
}

void GatewayEngine::NoteRemoteCrash(const EndpointCrash& aCrash,
                                    TimePoint aNow) {
  mCrashes.NoteCrash(aCrash, aNow);
}

void GatewayEngine::Succeed(CallId aId,
                            std::shared_ptr<const Response> aResponse,
                            GatewayActions& aActions) {
  ++mCounts.mAnswered;
  if (!mCalls.at(aId).mCallerLeft) {
    aActions.emplace_back(GatewayAnswer{
        aId, std::move(aResponse), ErrorKind::BadRequest, Duration::zero()});
  }
  Finish(aId, aActions);
}

void GatewayEngine::Fail(CallId aId, ErrorKind aError,
                         GatewayActions& aActions) {
  const Call& call = mCalls.at(aId);
  const bool claimsNotRun = AnswerOf(aError).mOutcome == Outcome::NotRun;
  const ErrorKind error =
      call.mMayHaveRun && claimsNotRun ? ErrorKind::EndpointLost : aError;
  ++mCounts.mErrors[error];
  if (!call.mCallerLeft) {
    aActions.emplace_back(GatewayAnswer{aId, nullptr, error, RetryAfter(call)});
  }
  Finish(aId, aActions);
}

void GatewayEngine::Finish(CallId aId, GatewayActions& aActions) {
  const auto found = mCalls.find(aId);
  Call& call = found->second;
  for (const AttemptId running : call.mRunning) {
    const Attempt& attempt = mAttempts.at(running);
    ServiceOf(call.mService)
        .mPool.Finished(attempt.mEndpoint, AttemptResult::Cancelled, false,
                        std::nullopt, WorkOf(call.mRoute), attempt.mSentAt,
                        mNow);
    aActions.emplace_back(CancelAttempt{running});
    mAttempts.erase(running);
  }
  // Timers of the call find nothing when they are due.
  mCalls.erase(found);
}

Duration GatewayEngine::RetryAfter(const Call& aCall) {
  const Duration target = aCall.mRoute.mTargetLatency;
  if (target == Duration::zero()) {
    return kHoldTime;
  }
  const double spread = std::uniform_real_distribution<double>(1, 2)(mRandom);
  return Scaled(target, kRetryAfterPart * spread);
}

}  // namespace papayawheel
