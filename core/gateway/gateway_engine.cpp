#include "core/gateway/gateway_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"
#include "core/base/scaled.h"
#include "core/outcome/not_run_status.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Maximum time that a request waits for the view to become fresh. */
constexpr milliseconds kMaxViewWait{200};

/** Fraction of a route's target latency that is taken as its service time until
 * the first answer arrives. */
constexpr double kInitialTimeFraction = 0.3;

/** Attempts of a call that may fail to connect; one more ends its retries. */
constexpr std::uint32_t kMaxUnreached = 4;

/** Refused callers are advised to retry after this fraction of the target
 * latency, or up to twice as much, drawn at random. */
constexpr double kRetryAfterFraction = 0.12;

constexpr int kFirstServerError = 500;

/** Whether an endpoint's answer to a request that it may have run is a failure,
 * after which an idempotent request is retried. */
bool IsFailure(int aStatus) {
  return aStatus >= kFirstServerError || PromisesNotRun(aStatus);
}

/** The error of a call whose last attempt ended without an answer. */
ErrorKind ErrorAfter(AttemptResult aResult) {
  switch (aResult) {
    case AttemptResult::NotExecuted:
      return ErrorKind::Overloaded;
    case AttemptResult::NotConnected:
      return ErrorKind::NeverSent;
    case AttemptResult::Garbled:
      return ErrorKind::AnswerCut;
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
      return ErrorKind::TimedOut;
    case AttemptResult::Answered:
    case AttemptResult::Lost:
      break;
  }
  return ErrorKind::EndpointLost;
}

}  // namespace

GatewayEngine::GatewayEngine(std::string aDataCentre, std::uint32_t aSeed)
    : mDataCentre(std::move(aDataCentre)),
      mRandom(aSeed),
      mView(std::make_shared<RoutingView>()),
      mCrashDetector(StableHash(fmt::format("{}/{}", mDataCentre, aSeed))) {}

void GatewayEngine::Apply(std::shared_ptr<const RoutingView> aView,
                          TimePoint aNow) {
  mNow = aNow;
  mView = std::move(aView);
  if (mView->mRoutes == nullptr) {
    return;
  }
  const RoutingConfiguration& source = mView->mRoutes->Source();
  mSplit.Prune(source);
  mHedging.Prune(source);
  for (const Route& route : source.mRoutes) {
    for (const ServiceShare& share : route.mShares) {
      ServiceOf(share.mService);
    }
  }
  const DataCentreSet evacuated =
      mView->mEvacuated == nullptr ? DataCentreSet() : *mView->mEvacuated;
  for (auto& [name, service] : mServices) {
    service.mPool.SetWarmUpRules(WarmUpRulesOf(name), aNow);
    service.mPool.Configure(*mView->mEndpoints, name, aNow, evacuated);
    service.mProbeBudget.Configure(mProbeTerms, mProbeHosts,
                                   service.mPool.Size(), aNow);
  }
  for (auto& [id, attempt] : mAttempts) {
    const auto entry = mView->mEndpoints->find(attempt.mEndpoint);
    attempt.mEndpointDraining =
        attempt.mEndpointDraining ||
        (entry != mView->mEndpoints->end() && entry->second.mDraining);
  }
  mCrashDetector.NotePublished(*mView->mEndpoints, aNow);
}

void GatewayEngine::SetProbeBudget(const ProbeBudgetTerms& aTerms,
                                   std::size_t aHosts, TimePoint aNow) {
  mProbeTerms = aTerms;
  mProbeHosts = aHosts;
  for (auto& [name, service] : mServices) {
    service.mProbeBudget.Configure(aTerms, aHosts, service.mPool.Size(), aNow);
  }
}

void GatewayEngine::SetLimitSharers(LimitSharers aSharers, TimePoint aNow) {
  mLimitSharers = std::move(aSharers);
  for (auto& [name, service] : mServices) {
    service.mPool.SetLimitSharers(mLimitSharers, aNow);
  }
}

void GatewayEngine::StartWarmUpLimits(const WarmUpTerms& aTerms,
                                      const std::string& aSelf,
                                      TimePoint aNow) {
  mWarmUpTerms = aTerms;
  mKnownHosts.Start(aSelf, aNow);
  ShareWarmUp(aNow);
}

void GatewayEngine::SetKnownHosts(std::vector<std::string> aNames,
                                  TimePoint aNow) {
  if (mKnownHosts.Update(std::move(aNames), aNow)) {
    ShareWarmUp(aNow);
  }
}

void GatewayEngine::ShareWarmUp(TimePoint aNow) {
  for (auto& [name, service] : mServices) {
    service.mPool.SetWarmUpSharers(mKnownHosts.Sharers(), aNow);
  }
}

EndpointPool::WarmUpRules GatewayEngine::WarmUpRulesOf(
    const std::string& aService) const {
  const auto& services = mView->mRoutes->Source().mServices;
  const auto found = services.find(aService);
  EndpointPool::WarmUpRules rules;
  if (found != services.end() && found->second.mWarmUpRate > 0) {
    rules.mPlanned =
        PlannedWarmUpRequests(found->second.mWarmUpRate, mWarmUpTerms);
    rules.mPeriod = found->second.mWarmUpPeriod;
    rules.mIsProbed = !found->second.mHealthPath.empty();
  }
  return rules;
}

std::map<std::string, std::set<std::string>> GatewayEngine::ColdEndpoints(
    TimePoint aNow) const {
  std::map<std::string, std::set<std::string>> cold;
  for (const auto& [name, service] : mServices) {
    cold.emplace(name, service.mPool.ColdEndpoints(aNow));
  }
  return cold;
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
      mServices.emplace(aName, ServiceState(mDataCentre, seed, mNow))
          .first->second;
  service.mBudget.Configure(mBudgetTerms, mHosts);
  service.mPool.SetLimitSharers(mLimitSharers, mNow);
  service.mPool.SetWarmUpSharers(mKnownHosts.Sharers(), mNow);
  return service;
}

Duration GatewayEngine::EstimatedServiceTime(const Route& aRoute) const {
  const auto found = mMedianTimes.find(aRoute.mName);
  return found == mMedianTimes.end()
             ? Scaled(aRoute.mTargetLatency, kInitialTimeFraction)
             : found->second.Value();
}

GatewayActions GatewayEngine::SetViewFresh(bool aFresh, TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  mViewFresh = aFresh;
  if (!aFresh) {
    return actions;
  }
  std::vector<CallId> waiting;
  for (const auto& [id, call] : mCalls) {
    if (call.mAwaitsFreshView) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const CallId id : waiting) {
    mCalls.at(id).mAwaitsFreshView = false;
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
  const Route* const route = FindRoute(aRequest);
  if (const auto error = ValidateRequest(aRequest, route, aNow)) {
    Fail(aId, *error, actions);
    return actions;
  }
  call = MakeCall(aRequest, *route, mSplit.Next(*route), aNow);
  ServiceState& service = ServiceOf(call.mService);
  service.mBudget.NoteRequest(aNow);
  service.mProbeBudget.NoteRequest(aNow);
  mHedging.NoteRequest(call.mService, aNow);
  mTimers.emplace(call.mDeadline, Timer{TimerKind::Deadline, aId});
  if (!mViewFresh) {
    call.mAwaitsFreshView = true;
    mTimers.emplace(aNow + kMaxViewWait,
                    Timer{TimerKind::ViewWaitTimeout, aId});
    return actions;
  }
  Admit(aId, aNow, actions);
  return actions;
}

void GatewayEngine::GiveUp(CallId aId, Call& aCall, ErrorKind aError,
                           GatewayActions& aActions) {
  if (!aCall.mRunning.empty()) {
    // Another attempt may still answer.
    return;
  }
  if (aCall.mFailureResponse != nullptr) {
    Succeed(aId, aCall.mFailureResponse, aActions);
    return;
  }
  Fail(aId, aError, aActions);
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
      aReply.mResponse != nullptr && IsFailure(aReply.mResponse->mStatus);
  NoteHedgeOutcome(call, aId, attempt, aReply.mResult, failed, aNow);
  const Duration work = EstimatedServiceTime(call.mRoute);
  const std::string service = call.mService;
  ServiceOf(service).mPool.NoteAttemptEnded(attempt.mEndpoint, aReply.mResult,
                                            failed, aReply.mSample, work,
                                            attempt.mSentAt, aNow);
  ServiceOf(service).mPool.NoteNotice(attempt.mEndpoint, aReply.mNotice, aNow);
  mCrashDetector.NoteLiveness(attempt.mEndpoint, aReply.mLiveness,
                              attempt.mSentAt, aNow);
  if (aReply.mResult == AttemptResult::Answered && !failed) {
    mCrashDetector.NoteAnswered(call.mFingerprint, attempt.mSentAt, aNow);
    NoteServiceTime(call.mRoute, attempt, work, aNow);
  }
  ContinueCall(call, attempt, aReply, aNow, actions);
  // Last, as it may end the call.
  if (aReply.mResult != AttemptResult::Cancelled) {
    const bool answered = aReply.mResult == AttemptResult::Answered ||
                          aReply.mResult == AttemptResult::NotExecuted ||
                          aReply.mResult == AttemptResult::Garbled;
    NoteReach(service, attempt.mEndpoint, answered, aNow, actions);
  }
  SendQueuedCalls(service, aNow, actions);
  SendHealthChecks(aNow, actions);
  return actions;
}

void GatewayEngine::NoteServiceTime(const Route& aRoute,
                                    const Attempt& aAttempt, Duration aInitial,
                                    TimePoint aNow) {
  const auto took =
      std::chrono::duration_cast<Duration>(aNow - aAttempt.mSentAt);
  mMedianTimes.try_emplace(aRoute.mName, aInitial)
      .first->second.Note(Scaled(took, 1 / std::max(1.0, aAttempt.mSlowdown)));
}

void GatewayEngine::ContinueCall(Call& aCall, const Attempt& aAttempt,
                                 const AttemptReply& aReply, TimePoint aNow,
                                 GatewayActions& aActions) {
  switch (aReply.mResult) {
    case AttemptResult::Answered:
      EndpointAnswered(aAttempt.mCall, aCall, aReply, aNow, aActions);
      return;
    case AttemptResult::NotExecuted:
      AllowOnlyEndpoint(aCall, aNow);
      break;
    case AttemptResult::NotConnected:
      ++aCall.mUnreached;
      break;
    case AttemptResult::Lost:
    case AttemptResult::Garbled:
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
      AddSuspicion(aCall, aAttempt, aNow);
      aCall.mMayHaveRun = true;
      break;
  }
  RetryOrFail(aAttempt.mCall, aCall, ErrorAfter(aReply.mResult), aNow,
              aActions);
}

void GatewayEngine::AllowOnlyEndpoint(Call& aCall, TimePoint aNow) {
  const bool wasNotRun = !aCall.mMayHaveRun && aCall.mRunning.empty();
  if (wasNotRun &&
      ServiceOf(aCall.mService).mPool.CountUsable(aCall.mAvoided, aNow) == 0) {
    aCall.mAvoided.clear();
  }
}

void GatewayEngine::EndpointAnswered(CallId aId, Call& aCall,
                                     const AttemptReply& aReply, TimePoint aNow,
                                     GatewayActions& aActions) {
  aCall.mMayHaveRun = true;
  const int status = aReply.mResponse->mStatus;
  if (PromisesNotRun(status)) {
    // The caller would take the status for proof that the request was not run.
    aCall.mUnconfirmedStatus = status;
    RetryOrFail(aId, aCall, ErrorKind::UnconfirmedRefusal, aNow, aActions);
    return;
  }
  const bool mayRetry =
      IsFailure(status) && aCall.mRoute.mKind == RouteKind::Idempotent;
  if (!mayRetry) {
    Succeed(aId, aReply.mResponse, aActions);
    return;
  }
  aCall.mFailureResponse = aReply.mResponse;
  RetryOrFail(aId, aCall, ErrorKind::EndpointLost, aNow, aActions);
}

bool GatewayEngine::MayRetry(const Call& aCall, TimePoint aNow) const {
  const bool isSafe =
      aCall.mRoute.mKind == RouteKind::Idempotent || !aCall.mMayHaveRun;
  return isSafe && !aCall.mCallerDisconnected &&
         aCall.Reached() < aCall.mRoute.mMaxAttempts &&
         aCall.mUnreached <= kMaxUnreached && aNow < aCall.mDeadline &&
         !(aCall.mMayHaveRun &&
           mCrashDetector.IsSuspect(aCall.mFingerprint, aNow));
}

void GatewayEngine::RetryOrFail(CallId aId, Call& aCall, ErrorKind aError,
                                TimePoint aNow, GatewayActions& aActions) {
  if (!aCall.mRunning.empty()) {
    // Another attempt may still answer.
    return;
  }
  if (MayRetry(aCall, aNow)) {
    Enqueue(aId, aCall, Purpose::Retry, aError, aNow, aActions);
    return;
  }
  GiveUp(aId, aCall, aError, aActions);
}

GatewayActions GatewayEngine::CallerDisconnected(CallId aId, TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return actions;
  }
  Call& call = found->second;
  call.mCallerDisconnected = true;
  const bool continues =
      call.mRoute.mKind == RouteKind::AtMostOnce && !call.mRunning.empty();
  if (!continues) {
    SuspectOverdueAttempts(call, aNow);
    Finish(aId, actions);
    SendHealthChecks(aNow, actions);
  }
  return actions;
}

GatewayActions GatewayEngine::Tick(TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  while (!mTimers.empty() && mTimers.begin()->first <= aNow) {
    const Timer timer = mTimers.begin()->second;
    mTimers.erase(mTimers.begin());
    if (timer.mKind == TimerKind::ProbeRound) {
      SendQueuedCalls(timer.mService, aNow, actions);
      continue;
    }
    if (timer.mKind == TimerKind::ReachCheck) {
      ServiceOf(timer.mService).mReachTimer.reset();
      SendReachChecks(timer.mService, aNow, actions);
      continue;
    }
    if (timer.mKind == TimerKind::SuspectCheck) {
      SendHealthChecks(aNow, actions);
      continue;
    }
    if (timer.mKind == TimerKind::ProbeTimeout) {
      if (mProbes.contains(timer.mProbe)) {
        actions.emplace_back(CancelProbe{timer.mProbe});
        const auto late = ProbeEnded(timer.mProbe, ProbeReply{}, aNow);
        actions.insert(actions.end(), late.begin(), late.end());
      }
      continue;
    }
    const auto found = mCalls.find(timer.mCall);
    if (found == mCalls.end()) {
      continue;
    }
    Call& call = found->second;
    switch (timer.mKind) {
      case TimerKind::Hedge:
        Hedge(timer.mCall, timer.mAttempt, aNow, actions);
        break;
      case TimerKind::QueueTimeout:
        if (call.mQueued) {
          HandleQueueTimeout(timer.mCall, call, aNow, actions);
        }
        break;
      case TimerKind::ProbeRound:
      case TimerKind::ProbeTimeout:
      case TimerKind::SuspectCheck:
      case TimerKind::ReachCheck:
        break;
      case TimerKind::ViewWaitTimeout:
        if (call.mAwaitsFreshView) {
          Fail(timer.mCall, ErrorKind::HostNotReady, actions);
        }
        break;
      case TimerKind::Deadline:
        SuspectOverdueAttempts(call, aNow);
        EndUnanswered(timer.mCall, call, ErrorKind::Overloaded, actions);
        SendHealthChecks(aNow, actions);
        break;
    }
  }
  return actions;
}

void GatewayEngine::EndUnanswered(CallId aId, Call& aCall, ErrorKind aIfNotRun,
                                  GatewayActions& aActions) {
  aCall.mMayHaveRun = aCall.mMayHaveRun || !aCall.mRunning.empty();
  Fail(aId, aCall.mMayHaveRun ? ErrorKind::TimedOut : aIfNotRun, aActions);
}

GatewayActions GatewayEngine::EndAllCalls(TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  while (!mCalls.empty()) {
    auto& [id, call] = *mCalls.begin();
    // A copy, since the call ends here.
    const CallId ended = id;
    EndUnanswered(ended, call, ErrorKind::HostNotReady, actions);
  }
  return actions;
}

std::optional<TimePoint> GatewayEngine::NextDue() const {
  if (mTimers.empty()) {
    return std::nullopt;
  }
  return mTimers.begin()->first;
}

void GatewayEngine::NoteRemoteCrash(const CrashRecord& aRecord,
                                    TimePoint aNow) {
  mCrashDetector.NoteRemoteRecord(aRecord, aNow);
}

void GatewayEngine::Succeed(CallId aId,
                            std::shared_ptr<const Response> aResponse,
                            GatewayActions& aActions) {
  ++mCounts.mAnswered;
  Call& call = mCalls.at(aId);
  call.mIsAnswered = true;
  if (!call.mCallerDisconnected) {
    aActions.emplace_back(GatewayAnswer{
        aId, std::move(aResponse), ErrorKind::BadRequest, Duration::zero(),
        call.mRoute.mName, call.mTried, call.mFingerprint});
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
  if (!call.mCallerDisconnected) {
    aActions.emplace_back(
        GatewayAnswer{aId, nullptr, error, RetryAfter(call), call.mRoute.mName,
                      call.mTried, call.mFingerprint, call.mUnconfirmedStatus});
  }
  Finish(aId, aActions);
}

void GatewayEngine::Finish(CallId aId, GatewayActions& aActions) {
  const auto found = mCalls.find(aId);
  Call& call = found->second;
  LeaveQueue(aId, call);
  for (const AttemptId running : call.mRunning) {
    const Attempt& attempt = mAttempts.at(running);
    NoteCancelled(call, running, attempt);
    ServiceOf(call.mService)
        .mPool.NoteAttemptEnded(
            attempt.mEndpoint, AttemptResult::Cancelled, false, std::nullopt,
            EstimatedServiceTime(call.mRoute), attempt.mSentAt, mNow);
    aActions.emplace_back(CancelAttempt{running});
    mAttempts.erase(running);
  }
  // Timers of the call remain; Tick() ignores them when they are due.
  mCalls.erase(found);
}

Duration GatewayEngine::RetryAfter(const Call& aCall) {
  const Duration quarantine =
      mCrashDetector.QuarantineRemaining(aCall.mFingerprint, mNow);
  if (quarantine > Duration::zero()) {
    return quarantine;
  }
  const Duration target = aCall.mRoute.mTargetLatency;
  if (target == Duration::zero()) {
    return kMaxViewWait;
  }
  const double spread = std::uniform_real_distribution<double>(1, 2)(mRandom);
  const Duration usual = Scaled(target, kRetryAfterFraction * spread);
  const auto service = mServices.find(aCall.mService);
  if (service == mServices.end() ||
      service->second.mPool.CountUsable({}, mNow) > 0) {
    return usual;
  }
  // All endpoints requested a backoff: advise to wait until the first one
  // ends.
  const auto returns = service->second.mPool.EarliestBackoffEnd(mNow);
  return returns ? usual + std::chrono::duration_cast<Duration>(*returns - mNow)
                 : usual;
}

}  // namespace papayawheel
