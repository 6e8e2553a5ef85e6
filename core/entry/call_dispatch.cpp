#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"
#include "core/entry/call_engine.h"

namespace papayawheel {
namespace {

/** Hosts that a call is passed to for their rights, at most. */
constexpr std::size_t kMostHomesTried = 3;

/** Endpoints that a call is sent to, at most. */
constexpr std::uint32_t kMostAttempts = 3;

/** The longest time that a call waits on this host for a free slot. */
constexpr std::chrono::milliseconds kMaxQueueTime{250};

/** Weight of the newest sample in the mean time between answers. */
constexpr double kIntervalWeight = 0.05;

/** Shortest wait that a refused caller is told. */
constexpr std::chrono::milliseconds kLeastRetryAfter{5};

}  // namespace

void CallEngine::Admit(CallId aId, Call& aCall, TimePoint aNow,
                       CallActions& aActions) {
  const Admission admission = mLedger.Admit(aCall.mRequest.mCustomer, aNow);
  if (admission.mGrant) {
    aCall.mGrant = admission.mGrant;
    Dispatch(aId, aCall, aNow, aActions);
    return;
  }
  if (aCall.mRequest.mHop != HopReason::Rights &&
      PassToHome(aId, aCall, aNow, aActions)) {
    return;
  }
  const Duration longest = std::chrono::seconds(5);
  Fail(aId, admission.mRefusal, std::min(admission.mRetryAfter, longest),
       aActions);
}

bool CallEngine::PassToHome(CallId aId, Call& aCall, TimePoint aNow,
                            CallActions& aActions) {
  const std::string& customer = aCall.mRequest.mCustomer;
  const ShareSplit* const split = mLedger.SplitOf(customer);
  if (split == nullptr || aCall.mTriedHosts.size() >= kMostHomesTried ||
      aCall.mDeadline <= aNow) {
    return false;
  }
  for (const std::string& home : split->mHomes) {
    const auto exhausted = mExhausted.find({customer, home});
    const bool tried =
        std::find(aCall.mTriedHosts.begin(), aCall.mTriedHosts.end(), home) !=
        aCall.mTriedHosts.end();
    if (home == mIdentity.mName || tried ||
        (exhausted != mExhausted.end() && exhausted->second > aNow) ||
        mLedger.Evidence().IsDead(home, aNow)) {
      continue;
    }
    aCall.mTriedHosts.push_back(home);
    PassTo(aId, aCall, home, HopReason::Rights, aNow, aActions);
    return true;
  }
  return false;
}

void CallEngine::Dispatch(CallId aId, Call& aCall, TimePoint aNow,
                          CallActions& aActions) {
  if (HoldSuspect(aId, aCall, aNow, aActions)) {
    return;
  }
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  if (aCall.mAttempts == 0) {
    service.mRetries.NoteCall();
  }
  if (service.mQueue.IsEmpty()) {
    if (const auto endpoint = service.mBook.Pick(aCall.mTriedEndpoints, aNow)) {
      SendTo(aId, aCall, *endpoint, aNow, aActions);
      return;
    }
  }
  Wait(aId, aCall, aNow, aActions);
}

bool CallEngine::HoldSuspect(CallId aId, Call& aCall, TimePoint aNow,
                             CallActions& aActions) {
  if (!mCrashGuard.IsSuspect(aCall.mFingerprint, aNow)) {
    return false;
  }
  std::vector<std::string> hosts;
  for (const auto& [name, host] : mConfiguration->mHosts) {
    if (host.mState == NodeState::Live) {
      hosts.push_back(name);
    }
  }
  const std::vector<std::string> ranked =
      RankByRendezvous(fmt::format("{:x}", aCall.mFingerprint), hosts);
  const bool isMine = aCall.mRequest.mHop == HopReason::Suspect ||
                      ranked.empty() || ranked.front() == mIdentity.mName;
  if (!isMine) {
    PassTo(aId, aCall, ranked.front(), HopReason::Suspect, aNow, aActions);
    return true;
  }
  Trial& trial = mTrials[aCall.mFingerprint];
  if (trial.mRunning == 0 || trial.mRunning == aId) {
    trial.mRunning = aId;
    return false;
  }
  aCall.mState = CallState::Waiting;
  trial.mWaiting.push_back(aId);
  return true;
}

void CallEngine::EndTrial(CallId aId, std::uint64_t aFingerprint,
                          TimePoint aNow, CallActions& aActions) {
  const auto found = mTrials.find(aFingerprint);
  if (found == mTrials.end() || found->second.mRunning != aId) {
    return;
  }
  const std::vector<CallId> waiting = std::move(found->second.mWaiting);
  mTrials.erase(found);
  for (const CallId id : waiting) {
    const auto call = mCalls.find(id);
    if (call == mCalls.end()) {
      continue;
    }
    const Duration quarantine = mCrashGuard.Remaining(aFingerprint, aNow);
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
  EndpointBook& book = mServices.at(aCall.mRequest.mService).mBook;
  ++aCall.mAttempts;
  aCall.mState = CallState::AtEndpoint;
  aCall.mTarget = aEndpoint;
  aCall.mTriedEndpoints.push_back(aEndpoint);
  aCall.mSentAt = aNow;
  book.Sent(aEndpoint);
  aActions.emplace_back(SendToEndpointAction{
      aId, aEndpoint, book.Endpoints().at(aEndpoint).mEndpoint.mAddress,
      std::chrono::duration_cast<Duration>(aCall.mDeadline - aNow),
      aCall.mAttempts});
}

void CallEngine::Wait(CallId aId, Call& aCall, TimePoint aNow,
                      CallActions& aActions) {
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  if (service.mBook.Endpoints().empty()) {
    Fail(aId, ErrorKind::NoEndpoint, kMaxQueueTime, aActions);
    return;
  }
  const Duration expected = ExpectedWait(service, aCall.mPriority);
  const TimePoint latestStart = aCall.mDeadline - service.mBook.TypicalTime();
  if (aNow + expected > latestStart) {
    Fail(aId, ErrorKind::DeadlineTooShort, expected, aActions);
    return;
  }
  if (expected > kMaxQueueTime) {
    Fail(aId, ErrorKind::Overloaded, expected, aActions);
    return;
  }
  ++mCounts.mQueued;
  aCall.mState = CallState::Waiting;
  service.mQueue.Push(aId, aCall.mPriority, aNow,
                      std::min(aNow + kMaxQueueTime, latestStart));
}

void CallEngine::Pump(const std::string& aService, TimePoint aNow,
                      CallActions& aActions) {
  ServiceState& service = mServices.at(aService);
  while (const auto front = service.mQueue.Front()) {
    Call& call = mCalls.at(*front);
    const auto endpoint = service.mBook.Pick(call.mTriedEndpoints, aNow);
    if (!endpoint) {
      return;
    }
    service.mQueue.Pop();
    SendTo(*front, call, *endpoint, aNow, aActions);
  }
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
  service.mBook.Finished(
      call.mTarget, aReply.mResult, aReply.mReport,
      std::chrono::duration_cast<Duration>(aNow - call.mSentAt), aNow);
  const auto sinceLast =
      std::chrono::duration_cast<Duration>(aNow - service.mLastAnswer);
  service.mAnswerInterval += std::chrono::duration_cast<Duration>(
      (std::min<Duration>(sinceLast, kMaxQueueTime) - service.mAnswerInterval) *
      kIntervalWeight);
  service.mLastAnswer = aNow;
  switch (aReply.mResult) {
    case EndpointResult::Answered:
      if (mCrashGuard.NoteAnswered(call.mFingerprint)) {
        mCrashReports.push_back(
            CrashReport{call.mFingerprint, call.mTarget, true});
      }
      Succeed(aId, aReply.mResponse, actions);
      break;
    case EndpointResult::Shed:
      RetryOrFail(aId, call, ErrorKind::Overloaded, aNow, actions);
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
  Pump(name, aNow, actions);
  return actions;
}

void CallEngine::RetryOrFail(CallId aId, Call& aCall, ErrorKind aError,
                             TimePoint aNow, CallActions& aActions) {
  ServiceState& service = mServices.at(aCall.mRequest.mService);
  const Duration quarantine = mCrashGuard.Remaining(aCall.mFingerprint, aNow);
  // A call that crashed its endpoints has run, so it is told as lost.
  const bool provedNotRun = AnswerOf(aError).mOutcome == Outcome::NotRun;
  aCall.mMayHaveRun = aCall.mMayHaveRun || !provedNotRun;
  const bool mayRepeat = provedNotRun || aCall.mIdempotent;
  const auto most =
      std::min<std::size_t>(kMostAttempts, service.mBook.Endpoints().size());
  if (mayRepeat && quarantine == Duration::zero() && aCall.mAttempts < most &&
      aNow < aCall.mDeadline && service.mRetries.TryTake()) {
    ++mCounts.mRetries;
    Dispatch(aId, aCall, aNow, aActions);
    return;
  }
  const Duration retryAfter = std::max<Duration>(
      kLeastRetryAfter, ExpectedWait(service, aCall.mPriority));
  Fail(aId, aError, std::max(quarantine, retryAfter), aActions);
}

void CallEngine::NoteCrash(const Call& aCall, TimePoint aNow) {
  CrashReport report{aCall.mFingerprint, aCall.mTarget, false};
  if (mCrashGuard.Note(report, aNow)) {
    mQuarantineEvents.push_back(fmt::format(
        "started for request {:016x} of customer \"{}\" after endpoint \"{}\" "
        "was lost",
        report.mFingerprint, aCall.mRequest.mCustomer, report.mEndpoint));
  }
  mCrashReports.push_back(std::move(report));
}

Duration CallEngine::ExpectedWait(const ServiceState& aService,
                                  std::uint32_t aPriority) const {
  const auto ahead =
      static_cast<std::int64_t>(aService.mQueue.Ahead(aPriority));
  return aService.mAnswerInterval * ahead;
}

}  // namespace papayawheel
