// The part of GatewayEngine that decides when a call is sent, and to which
// endpoint.

#include <algorithm>
#include <utility>

#include "core/base/scaled.h"
#include "core/gateway/gateway_engine.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** A call is sent at once to an endpoint on which it is expected to take less
 * than this many times as long as on an idle endpoint of an idle machine, and
 * on which other requests cause less than this part of it. */
constexpr double kReadySlowdown = 1.5;
constexpr double kReadySaturation = 1.25;

/** A call is sent to an endpoint on which it is expected to take less than this
 * many times as long if the search for a better one has ended. */
constexpr double kMaxSlowdown = 1.9;

/** A call whose time in the queue is over is sent to an endpoint that has fewer
 * requests per slot than this. */
constexpr double kMaxLoadPerSlot = 1.0;

/** Fraction of the target latency that a call does not spend in the queue, as a
 * margin for an attempt that takes longer than expected. */
constexpr double kWaitReserve = 0.2;

/** Maximum time of a retry or hedge in the queue. */
constexpr milliseconds kMaxRetryWait{30};

/** Maximum number of endpoints probed in one round. It is the number of queued
 * calls: a further probe takes little time compared with a request, so it is
 * sent only if the first one found no ready endpoint. */
constexpr std::size_t kMaxProbes = 6;
/** Minimum number before the first report, since it is not known yet whether
 * the endpoints answer probes. */
constexpr std::size_t kFirstProbes = 2;
/** Rounds that follow each other without a pause. They are the search for a
 * ready endpoint. */
constexpr std::uint32_t kImmediateRounds = 5;
/** Pause between later rounds, while no endpoint with a low load is found. */
constexpr milliseconds kRoundPause{25};
/** Maximum time that a round waits for answers. */
constexpr milliseconds kRoundTimeout{12};

/** An endpoint that does not answer a probe within this time gets no requests
 * for a while. */
constexpr milliseconds kProbeTimeout{80};

/** Weight of the newest sample in the average interval between sends, and the
 * maximum of a sample. */
constexpr double kIntervalWeight = 0.1;
constexpr milliseconds kMaxSendInterval{200};

bool IsReady(const EndpointPool::Choice& aChoice) {
  return aChoice.mSlowdown < kReadySlowdown &&
         aChoice.mSaturation < kReadySaturation;
}

/** Queue priority of a route, where the highest goes first. In the route's
 * configured priority 0 goes first. */
std::uint32_t QueuePriority(const Route& aRoute) {
  constexpr std::uint32_t kMaxPriority = DispatchQueue::kPriorities - 1;
  return kMaxPriority - std::min(aRoute.mPriority, kMaxPriority);
}

/** @param aBudget a copy, since a question must not change the budget. */
bool IsExhausted(ProbeBudget aBudget, TimePoint aNow) {
  return aBudget.IsExhausted(aNow);
}

}  // namespace

void GatewayEngine::Enqueue(CallId aId, Call& aCall, Purpose aPurpose,
                            ErrorKind aErrorIfNotSent, TimePoint aNow,
                            GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aCall.mService);
  // The call is queued already if it waited for a hedge when its first attempt
  // failed.
  LeaveQueue(aId, aCall);
  aCall.mPurpose = aPurpose;
  aCall.mErrorIfNotSent = aErrorIfNotSent;
  if (const auto error = RefusalOf(service, aCall, aNow)) {
    GiveUp(aId, aCall, *error, aActions);
    return;
  }
  aCall.mQueued = true;
  service.mQueue.Push(DispatchQueue::Waiting{aId, QueuePriority(aCall.mRoute),
                                             false, aCall.mArrivedAt,
                                             aCall.mDeadline});
  mTimers.emplace(aNow + MaxWait(aCall, aNow),
                  Timer{TimerKind::QueueTimeout, aId});
  // A copy, since the call may end while queued calls are sent.
  const std::string name = aCall.mService;
  SendQueuedCalls(name, aNow, aActions);
}

std::optional<ErrorKind> GatewayEngine::RefusalOf(const ServiceState& aService,
                                                  const Call& aCall,
                                                  TimePoint aNow) const {
  if (IsLost(aCall.mService, aService) ||
      !MayFindEndpoint(aService, aCall, aNow)) {
    return aCall.mTried.empty() ? ErrorKind::NoEndpoint : aCall.mErrorIfNotSent;
  }
  if (aCall.mPurpose == Purpose::First &&
      ExpectedWait(aService, aCall) > MaxWait(aCall, aNow)) {
    return ErrorKind::Overloaded;
  }
  return std::nullopt;
}

std::size_t GatewayEngine::CallsAhead(const ServiceState& aService,
                                      const Call& aCall) {
  return aService.mQueue.Ahead(QueuePriority(aCall.mRoute), false);
}

bool GatewayEngine::IsLoadKnown(const ServiceState& aService, const Call& aCall,
                                const EndpointPool::Choice& aChoice,
                                TimePoint aNow) const {
  return aService.mPool.IsFresh(aChoice.mId, aNow) ||
         HealthPath(aCall.mService).empty() ||
         IsExhausted(aService.mProbeBudget, aNow);
}

bool GatewayEngine::IsFastEnough(const EndpointPool::Choice& aChoice) {
  return aChoice.mSlowdown < kMaxSlowdown * aChoice.mColdFactor;
}

void GatewayEngine::LeaveQueue(CallId aId, Call& aCall) {
  if (aCall.mQueued) {
    aCall.mQueued = false;
    ServiceOf(aCall.mService).mQueue.Remove(aId);
  }
}

void GatewayEngine::RefuseQueuedCalls(ServiceState& aService,
                                      GatewayActions& aActions) {
  while (const DispatchQueue::Waiting* const waiting =
             aService.mQueue.Front()) {
    const CallId id = waiting->mId;
    Call& call = mCalls.at(id);
    LeaveQueue(id, call);
    GiveUp(id, call, call.mErrorIfNotSent, aActions);
  }
}

bool GatewayEngine::MayFindEndpoint(const ServiceState& aService,
                                    const Call& aCall, TimePoint aNow) const {
  if (aService.mPool.CountUsable({}, aNow) > 0) {
    return true;
  }
  const auto returns = aService.mPool.EarliestReturn(aNow);
  return returns && *returns <= aNow + MaxWait(aCall, aNow);
}

Duration GatewayEngine::MaxWait(const Call& aCall, TimePoint aNow) const {
  // A retry may go to the same endpoint only if that is the only one and has
  // shed the request. It may wait as long as a new call.
  const bool waitsAgain =
      aCall.mPurpose == Purpose::Retry && aCall.mAvoided.empty();
  if (aCall.mPurpose != Purpose::First && !waitsAgain) {
    return kMaxRetryWait;
  }
  const Duration work = EstimatedServiceTime(aCall.mRoute);
  const auto passed =
      std::chrono::duration_cast<Duration>(aNow - aCall.mArrivedAt);
  const Duration left =
      Scaled(aCall.mRoute.mTargetLatency, 1 - kWaitReserve) - work - passed;
  return std::max<Duration>(left, kRoundTimeout);
}

Duration GatewayEngine::ExpectedWait(const ServiceState& aService,
                                     const Call& aCall) const {
  return aService.mSendInterval *
         static_cast<std::int64_t>(CallsAhead(aService, aCall));
}

void GatewayEngine::SendQueuedCalls(const std::string& aService, TimePoint aNow,
                                    GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aService);
  if (service.mPool.IsEvacuated() && service.mPool.CountUsable({}, aNow) == 0) {
    RefuseQueuedCalls(service, aActions);
    return;
  }
  while (const DispatchQueue::Waiting* const waiting = service.mQueue.Front()) {
    const CallId id = waiting->mId;
    Call& call = mCalls.at(id);
    if (mCrashDetector.IsQuarantined(call.mFingerprint, aNow)) {
      LeaveQueue(id, call);
      GiveUp(id, call, ErrorKind::Quarantined, aActions);
      continue;
    }
    const auto choice = ChooseEndpoint(service, call, aNow);
    if (!choice || !IsLoadKnown(service, call, *choice, aNow) ||
        !IsFastEnough(*choice) ||
        MayFindReadyEndpoint(service, call, *choice, aNow)) {
      break;
    }
    service.mQueue.Take(id);
    call.mQueued = false;
    if (!TryChargeRetryBudget(service, call, aNow)) {
      GiveUp(id, call, call.mErrorIfNotSent, aActions);
      continue;
    }
    NoteSend(service, aNow);
    SendTo(id, call, *choice, aNow, aActions);
  }
  if (!service.mQueue.IsEmpty()) {
    SendProbeRound(aService, aNow, aActions);
  }
}

bool GatewayEngine::MayFindReadyEndpoint(const ServiceState& aService,
                                         const Call& aCall,
                                         const EndpointPool::Choice& aChoice,
                                         TimePoint aNow) const {
  return !IsReady(aChoice) && aService.mProbeRounds < kImmediateRounds &&
         !HealthPath(aCall.mService).empty() &&
         !IsExhausted(aService.mProbeBudget, aNow) &&
         !aService.mPool
              .StaleCandidates(EndpointsToAvoid(aCall, aNow),
                               EstimatedServiceTime(aCall.mRoute), 1, aNow)
              .empty();
}

std::string_view GatewayEngine::HealthPath(const std::string& aService) const {
  const auto& services = mView->mRoutes->Source().mServices;
  const auto terms = services.find(aService);
  return terms == services.end() ? std::string_view()
                                 : std::string_view(terms->second.mHealthPath);
}

void GatewayEngine::SendProbeRound(const std::string& aService, TimePoint aNow,
                                   GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aService);
  if (aNow >= service.mRoundEnds) {
    // Probes that are still unanswered do not delay the next round.
    service.mOpenProbes.clear();
  }
  if (!service.mOpenProbes.empty() || aNow < service.mNextRound) {
    return;
  }
  const std::string_view healthPath = HealthPath(aService);
  const Call& next = mCalls.at(service.mQueue.Front()->mId);
  const std::size_t minCount = service.mPool.HasReports() ? 1 : kFirstProbes;
  const std::size_t count =
      std::clamp(service.mQueue.Size(), minCount, kMaxProbes);
  auto candidates = service.mPool.StaleCandidates(
      EndpointsToAvoid(next, aNow), EstimatedServiceTime(next.mRoute), count,
      aNow);
  if (!healthPath.empty()) {
    candidates.resize(service.mProbeBudget.Take(candidates.size(), aNow));
    for (const EndpointPool::Candidate& candidate : candidates) {
      SendProbe(aService, candidate.mId, candidate.mAddress, healthPath, aNow,
                aActions);
      service.mOpenProbes.push_back(mLastProbe);
    }
  }
  service.mRoundEnds = aNow + kRoundTimeout;
  ++service.mProbeRounds;
  const bool quick =
      service.mProbeRounds < kImmediateRounds && !candidates.empty();
  service.mNextRound =
      aNow + (quick ? Duration::zero() : Duration(kRoundPause));
  mTimers.emplace(aNow + (candidates.empty() ? kRoundPause : kRoundTimeout),
                  Timer{TimerKind::ProbeRound, 0, aService, 0});
  if (!quick) {
    mTimers.emplace(service.mNextRound,
                    Timer{TimerKind::ProbeRound, 0, aService, 0});
  }
}

void GatewayEngine::SendProbe(const std::string& aService,
                              const std::string& aEndpoint,
                              const std::string& aAddress,
                              std::string_view aHealthPath, TimePoint aNow,
                              GatewayActions& aActions) {
  const ProbeId probe = ++mLastProbe;
  mProbes[probe] = Probe{aService, aEndpoint, aNow};
  mTimers.emplace(aNow + kProbeTimeout,
                  Timer{TimerKind::ProbeTimeout, 0, {}, probe});
  ++mCounts.mProbes;
  aActions.emplace_back(
      StartProbe{probe, aEndpoint, aAddress, std::string(aHealthPath)});
}

GatewayActions GatewayEngine::ProbeEnded(ProbeId aId, const ProbeReply& aReply,
                                         TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  const auto found = mProbes.find(aId);
  if (found == mProbes.end()) {
    return actions;
  }
  const Probe probe = found->second;
  mProbes.erase(found);
  ServiceState& service = ServiceOf(probe.mService);
  std::erase(service.mOpenProbes, aId);
  service.mPool.NoteNotice(probe.mEndpoint, aReply.mNotice, aNow);
  mCrashDetector.NoteLiveness(probe.mEndpoint, aReply.mLiveness, probe.mSentAt,
                              aNow);
  NoteReach(probe.mService, probe.mEndpoint, aReply.HasAnswer(), aNow, actions);
  if (probe.mIsHealthCheck && aReply.mSample) {
    // The slow or lost request that caused this health check is better evidence
    // of the endpoint's state than its load report, so the sample is not used.
    return actions;
  }
  if (aReply.mSample) {
    service.mPool.NoteSample(probe.mEndpoint, *aReply.mSample, aNow);
  } else {
    service.mPool.NoteUnansweredProbe(probe.mEndpoint, aNow);
    if (!aReply.HasAnswer()) {
      service.mPool.NoteUnreachable(probe.mEndpoint, aNow);
    }
  }
  if (service.mOpenProbes.empty()) {
    SendQueuedCalls(probe.mService, aNow, actions);
  }
  HedgeProbeEnded(probe, aNow, actions);
  return actions;
}

void GatewayEngine::HandleQueueTimeout(CallId aId, Call& aCall, TimePoint aNow,
                                       GatewayActions& aActions) {
  LeaveQueue(aId, aCall);
  if (mCrashDetector.IsQuarantined(aCall.mFingerprint, aNow)) {
    GiveUp(aId, aCall, ErrorKind::Quarantined, aActions);
    return;
  }
  ServiceState& service = ServiceOf(aCall.mService);
  const auto choice = ChooseEndpoint(service, aCall, aNow);
  const bool mayGo = aCall.mPurpose != Purpose::Hedge && choice &&
                     choice->mLoadPerSlot < kMaxLoadPerSlot &&
                     aNow + choice->mExpected < aCall.mDeadline;
  if (mayGo && TryChargeRetryBudget(service, aCall, aNow)) {
    NoteSend(service, aNow);
    SendTo(aId, aCall, *choice, aNow, aActions);
    return;
  }
  GiveUp(aId, aCall, aCall.mErrorIfNotSent, aActions);
}

bool GatewayEngine::TryChargeRetryBudget(ServiceState& aService,
                                         const Call& aCall, TimePoint aNow) {
  if (aCall.Reached() == 0) {
    return true;
  }
  const bool isHedge = aCall.mPurpose == Purpose::Hedge;
  if (!aService.mBudget.TryTake(isHedge ? kHedgeReserve : 0, aNow)) {
    return false;
  }
  ++(isHedge ? mCounts.mHedges : mCounts.mRetries);
  return true;
}

void GatewayEngine::NoteSend(ServiceState& aService, TimePoint aNow) {
  const auto interval = std::min<Duration>(
      std::chrono::duration_cast<Duration>(aNow - aService.mLastSend),
      kMaxSendInterval);
  aService.mSendInterval +=
      Scaled(interval - aService.mSendInterval, kIntervalWeight);
  aService.mLastSend = aNow;
  aService.mProbeRounds = 0;
}

void GatewayEngine::SendTo(CallId aId, Call& aCall,
                           const EndpointPool::Choice& aChoice, TimePoint aNow,
                           GatewayActions& aActions) {
  const AttemptId attempt = ++mLastAttempt;
  Attempt& started = mAttempts[attempt];
  started.mCall = aId;
  started.mEndpoint = aChoice.mId;
  started.mSentAt = aNow;
  started.mExpected = aChoice.mExpected;
  started.mSlowdown = aChoice.mSlowdown;
  started.mEntry = ServiceOf(aCall.mService).mPool.EntryOf(aChoice.mId);
  started.mIsSuspect =
      aCall.mIsSuspect || mCrashDetector.IsSuspect(aCall.mFingerprint, aNow);
  aCall.mRunning.push_back(attempt);
  aCall.mTried.push_back(aChoice.mId);
  aCall.mAvoided.push_back(aChoice.mId);
  EndpointPool& pool = ServiceOf(aCall.mService).mPool;
  mCounts.mColdRequests += pool.IsLimitedAsCold(aChoice.mId, aNow) ? 1 : 0;
  pool.NoteAttemptStarted(aChoice.mId, aNow);
  StartAttempt start;
  start.mAttempt = attempt;
  start.mCall = aId;
  start.mEndpoint = aChoice.mId;
  start.mAddress = aChoice.mAddress;
  start.mTimeLeft =
      std::chrono::duration_cast<Duration>(aCall.mDeadline - aNow);
  start.mExpected = aChoice.mExpected;
  start.mSlowdown = aChoice.mSlowdown;
  start.mFingerprint = aCall.mFingerprint;
  start.mNeedsFreshConnection = aCall.mRoute.mKind == RouteKind::AtMostOnce;
  aActions.emplace_back(std::move(start));
  ScheduleHedge(aId, aCall, attempt, aChoice.mExpected, aNow);
}

}  // namespace papayawheel
