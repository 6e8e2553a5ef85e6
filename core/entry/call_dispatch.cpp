#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/base/rendezvous.h"
#include "core/entry/call_engine.h"

namespace papayawheel {
namespace {

/** Maximum number of attempts for a call, refused ones not counted. */
constexpr std::uint32_t kMaxAttempts = 3;

/** Maximum time that a call waits on this host for a free slot. */
constexpr std::chrono::milliseconds kMaxQueueTime{250};

/** The same for a call of a kind that runs long. */
constexpr std::chrono::milliseconds kMaxLongQueueTime{1000};

/** Weight of the newest sample in the moving average of the time between
 * answers. */
constexpr double kIntervalWeight = 0.05;

/** Share of all slots of a service that long work may occupy. */
constexpr double kLongSlotShare = 0.6;

/** Minimum retry delay sent to a refused caller. */
constexpr std::chrono::milliseconds kMinRetryAfter{5};

}  // namespace

void CallEngine::Admit(CallId aId, Call& aCall, TimePoint aNow,
                       CallActions& aActions) {
  const Admission admission = mLedger.Admit(aCall.mRequest.mCustomer, aNow);
  if (admission.mGrant) {
    aCall.mGrant = admission.mGrant;
    Dispatch(aId, aCall, aNow, aActions);
    return;
  }
  if (aCall.mRequest.mHopReason != HopReason::Quota &&
      ForwardToShareHolder(aId, aCall, aNow, aActions)) {
    return;
  }
  const Duration maxRetryAfter = std::chrono::seconds(5);
  Fail(aId, admission.mRefusal, std::min(admission.mRetryAfter, maxRetryAfter),
       aActions);
}

void CallEngine::Dispatch(CallId aId, Call& aCall, TimePoint aNow,
                          CallActions& aActions) {
  if (DeferSuspect(aId, aCall, aNow, aActions)) {
    return;
  }
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  if (aCall.mAttempts == 0) {
    service.mRetries.NoteCall();
  }
  Enqueue(aId, aCall, aNow, aActions);
}

bool CallEngine::DeferSuspect(CallId aId, Call& aCall, TimePoint aNow,
                              CallActions& aActions) {
  if (!mQuarantineTracker.IsSuspect(aCall.mFingerprint, aNow)) {
    return false;
  }
  const std::vector<std::string> ranked =
      RankByRendezvous(fmt::format("{:x}", aCall.mFingerprint),
                       LiveHosts(mConfiguration->mHosts));
  const bool runsHere = aCall.mRequest.mHopReason == HopReason::Suspect ||
                        ranked.empty() || ranked.front() == mIdentity.mName;
  if (!runsHere) {
    ForwardTo(aId, aCall, ranked.front(), HopReason::Suspect, aNow, aActions);
    return true;
  }
  SuspectGroup& group = mSuspectGroups[aCall.mFingerprint];
  if (group.mRunning == 0 || group.mRunning == aId) {
    group.mRunning = aId;
    return false;
  }
  aCall.mState = CallState::Waiting;
  group.mWaiting.push_back(aId);
  return true;
}

void CallEngine::EndSuspectRun(CallId aId, std::uint64_t aFingerprint,
                               TimePoint aNow, CallActions& aActions) {
  const auto found = mSuspectGroups.find(aFingerprint);
  if (found == mSuspectGroups.end() || found->second.mRunning != aId) {
    return;
  }
  const std::vector<CallId> waiting = std::move(found->second.mWaiting);
  mSuspectGroups.erase(found);
  for (const CallId id : waiting) {
    const auto call = mCalls.find(id);
    if (call == mCalls.end()) {
      continue;
    }
    const Duration quarantine =
        mQuarantineTracker.QuarantineRemaining(aFingerprint, aNow);
    if (quarantine > Duration::zero()) {
      Fail(id, ErrorKind::Quarantined, quarantine, aActions);
    } else if (call->second.mDeadline <= aNow) {
      Fail(id, ErrorKind::DeadlinePassed, Duration::zero(), aActions);
    } else {
      Dispatch(id, call->second, aNow, aActions);
    }
  }
}

void CallEngine::SendTo(CallId aId, Call& aCall, const std::string& aEndpoint,
                        TimePoint aNow, CallActions& aActions) {
  EndpointSelector& book = mServices.at(aCall.mRequest.mService).mSelector;
  ++aCall.mAttempts;
  aCall.mState = CallState::AtEndpoint;
  aCall.mTarget = aEndpoint;
  aCall.mTriedEndpoints.push_back(aEndpoint);
  aCall.mSentAt = aNow;
  book.NoteAttemptStarted(aEndpoint);
  mServices.at(aCall.mRequest.mService).mLongInFlight += aCall.mLong ? 1 : 0;
  aActions.emplace_back(SendToEndpointAction{
      aId, aEndpoint, book.Endpoints().at(aEndpoint).mEndpoint.mAddress,
      std::chrono::duration_cast<Duration>(aCall.mDeadline - aNow),
      aCall.mAttempts});
}

void CallEngine::Enqueue(CallId aId, Call& aCall, TimePoint aNow,
                         CallActions& aActions) {
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  if (service.mSelector.Endpoints().empty()) {
    Fail(aId, ErrorKind::NoEndpoint, kMaxQueueTime, aActions);
    return;
  }
  const Duration expected = ExpectedWait(service, aCall);
  const TimePoint latestStart =
      aCall.mDeadline - service.mSelector.MedianCallTime();
  if (aNow + expected > latestStart) {
    Fail(aId, ErrorKind::DeadlineTooShort, expected, aActions);
    return;
  }
  if (expected > kMaxQueueTime) {
    Fail(aId, ErrorKind::Overloaded, expected, aActions);
    return;
  }
  const bool isLong = service.mClassifier.IsLong(
      aCall.mKind, service.mSelector.MedianCallTime());
  aCall.mState = CallState::Waiting;
  service.mQueue.Push(MakeWaiting(aId, aCall, isLong));
  SendQueuedCalls(aCall.mRequest.mService, aNow, aActions);
}

void CallEngine::Requeue(CallId aId, Call& aCall, TimePoint aNow,
                         CallActions& aActions) {
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  const bool isLong = service.mClassifier.IsLong(
      aCall.mKind, service.mSelector.MedianCallTime());
  const DispatchQueue::Waiting waiting = MakeWaiting(aId, aCall, isLong);
  if (waiting.mExpires <= aNow) {
    Fail(aId, ErrorKind::Overloaded,
         std::max<Duration>(kMinRetryAfter, ExpectedWait(service, aCall)),
         aActions);
    return;
  }
  ++mCounts.mShed;
  aCall.mState = CallState::Waiting;
  service.mQueue.PutBack(waiting);
}

DispatchQueue::Waiting CallEngine::MakeWaiting(CallId aId, const Call& aCall,
                                               bool aLong) const {
  const ServiceState& service = mServices.at(aCall.mRequest.mService);
  const Duration maxWait = aLong ? kMaxLongQueueTime : kMaxQueueTime;
  return DispatchQueue::Waiting{
      aId, aCall.mPriority, aLong, aCall.mArrivedAt,
      std::min(aCall.mArrivedAt + maxWait,
               aCall.mDeadline - service.mSelector.MedianCallTime())};
}

void CallEngine::SendQueuedCalls(const std::string& aService, TimePoint aNow,
                                 CallActions& aActions) {
  ServiceState& service = mServices.at(aService);
  const std::uint32_t maxLong = MaxLongCalls(service);
  while (const DispatchQueue::Waiting* waiting = service.mQueue.Front()) {
    const bool mustBeIdle = waiting->mLong && service.mLongInFlight >= maxLong;
    auto endpoint = PickFor(service, *waiting, mustBeIdle, aNow);
    if (!endpoint && mustBeIdle) {
      waiting = service.mQueue.FrontShort();
      if (waiting == nullptr) {
        return;
      }
      endpoint = PickFor(service, *waiting, false, aNow);
    }
    if (!endpoint) {
      return;
    }
    const CallId id = waiting->mId;
    Call& call = mCalls.at(id);
    call.mLong = waiting->mLong;
    service.mQueue.Take(id);
    SendTo(id, call, *endpoint, aNow, aActions);
  }
}

std::optional<std::string> CallEngine::PickFor(
    ServiceState& aService, const DispatchQueue::Waiting& aWaiting,
    bool aMustBeIdle, TimePoint aNow) {
  const auto& tried = mCalls.at(aWaiting.mId).mTriedEndpoints;
  return aMustBeIdle ? aService.mSelector.PickIdle(tried, aNow)
                     : aService.mSelector.Pick(tried, aNow);
}

std::uint32_t CallEngine::MaxLongCalls(const ServiceState& aService) const {
  const auto slots = static_cast<double>(aService.mSelector.SlotsPerEndpoint() *
                                         aService.mSelector.Endpoints().size());
  const auto hosts = static_cast<double>(
      std::max<std::size_t>(1, mConfiguration->mHosts.size()));
  return static_cast<std::uint32_t>(
      std::max(1.0, std::ceil(slots * kLongSlotShare / hosts)));
}

CallActions CallEngine::EndpointReplied(CallId aId, const EndpointReply& aReply,
                                        TimePoint aNow) {
  CallActions actions;
  const auto found = mCalls.find(aId);
  if (found == mCalls.end() || found->second.mState != CallState::AtEndpoint) {
    return actions;
  }
  mNow = aNow;
  Call& call = found->second;
  const std::string name = call.mRequest.mService;
  ServiceState& service = mServices.at(name);
  service.mSelector.NoteAttemptEnded(
      call.mTarget, aReply.mResult, aReply.mReport,
      std::chrono::duration_cast<Duration>(aNow - call.mSentAt), aNow);
  service.mLongInFlight -= call.mLong ? 1 : 0;
  if (aReply.mResult == EndpointResult::Answered) {
    NoteAnswer(service, call, aNow);
  }
  switch (aReply.mResult) {
    case EndpointResult::Answered:
      if (mQuarantineTracker.NoteAnswered(call.mFingerprint)) {
        mCrashReports.push_back(
            CrashReport{call.mFingerprint, call.mTarget, true});
      }
      AnswerWith(aId, aReply.mResponse, actions);
      break;
    case EndpointResult::Shed:
      // The request was not run and trying another endpoint is cheap, so
      // refusals do not count as attempts; only the queue time limits them.
      call.mTriedEndpoints.pop_back();
      --call.mAttempts;
      Requeue(aId, call, aNow, actions);
      break;
    case EndpointResult::NotConnected:
      RetryOrFail(aId, call, ErrorKind::NeverSent, aNow, actions);
      break;
    case EndpointResult::Lost:
      NoteCrash(call, aNow);
      RetryOrFail(aId, call, ErrorKind::EndpointLost, aNow, actions);
      break;
    case EndpointResult::Cut:
      RetryOrFail(aId, call, ErrorKind::AnswerCut, aNow, actions);
      break;
    case EndpointResult::TimedOut:
      Fail(aId, ErrorKind::TimedOut, Duration::zero(), actions);
      break;
  }
  SendQueuedCalls(name, aNow, actions);
  return actions;
}

void CallEngine::NoteAnswer(ServiceState& aService, const Call& aCall,
                            TimePoint aNow) {
  aService.mClassifier.NoteDuration(
      aCall.mKind, std::chrono::duration_cast<Duration>(aNow - aCall.mSentAt));
  const auto interval =
      std::chrono::duration_cast<Duration>(aNow - aService.mLastAnswer);
  aService.mAnswerInterval += std::chrono::duration_cast<Duration>(
      (std::min<Duration>(interval, kMaxQueueTime) - aService.mAnswerInterval) *
      kIntervalWeight);
  aService.mLastAnswer = aNow;
}

void CallEngine::RetryOrFail(CallId aId, Call& aCall, ErrorKind aError,
                             TimePoint aNow, CallActions& aActions) {
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  const Duration quarantine =
      mQuarantineTracker.QuarantineRemaining(aCall.mFingerprint, aNow);
  // A quarantined call was lost in an attempt, so it may have run and must not
  // be reported as not run.
  const bool isNotRun = AnswerOf(aError).mOutcome == Outcome::NotRun;
  aCall.mMayHaveRun = aCall.mMayHaveRun || !isNotRun;
  const bool mayRepeat = isNotRun || aCall.mIdempotent;
  const auto maxAttempts =
      std::min<std::size_t>(kMaxAttempts, service.mSelector.Endpoints().size());
  if (mayRepeat && quarantine == Duration::zero() &&
      aCall.mAttempts < maxAttempts && aNow < aCall.mDeadline &&
      service.mRetries.TryTake()) {
    ++mCounts.mRetries;
    Dispatch(aId, aCall, aNow, aActions);
    return;
  }
  const Duration retryAfter =
      std::max<Duration>(kMinRetryAfter, ExpectedWait(service, aCall));
  Fail(aId, aError, std::max(quarantine, retryAfter), aActions);
}

void CallEngine::NoteCrash(const Call& aCall, TimePoint aNow) {
  CrashReport report{aCall.mFingerprint, aCall.mTarget, false};
  if (mQuarantineTracker.NoteReport(report, aNow)) {
    mQuarantineEvents.push_back(fmt::format(
        "started for request {:016x} of customer \"{}\" after the connection "
        "to endpoint \"{}\" was lost",
        report.mFingerprint, aCall.mRequest.mCustomer, report.mEndpoint));
  }
  mCrashReports.push_back(std::move(report));
}

Duration CallEngine::ExpectedWait(const ServiceState& aService,
                                  const Call& aCall) const {
  const bool isLong = aService.mClassifier.IsLong(
      aCall.mKind, aService.mSelector.MedianCallTime());
  const auto ahead =
      static_cast<std::int64_t>(aService.mQueue.Ahead(aCall.mPriority, isLong));
  return aService.mAnswerInterval * ahead;
}

}  // namespace papayawheel
