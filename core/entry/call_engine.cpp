#include "core/entry/call_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "core/base/rendezvous.h"
#include "core/outcome/not_run_status.h"

namespace papayawheel {
namespace {

constexpr std::chrono::milliseconds kNotReadyRetryAfter{200};

/** Timeout of a caller that sent none. Once the service is known, its longest
 * deadline replaces this. */
constexpr std::chrono::milliseconds kDefaultCallerTimeout{1000};
constexpr std::chrono::milliseconds kTooManyKeysRetryAfter{1000};

/** Methods whose requests may be run more than once. */
constexpr std::array<std::string_view, 4> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE"};

bool IsIdempotent(std::string_view aMethod) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   aMethod) != kIdempotentMethods.end();
}

std::uint64_t FingerprintOf(const CallRequest& aRequest) {
  return StableHash(fmt::format("{}\n{}\n{}\n{}\n{}", aRequest.mMethod,
                                aRequest.mTarget, aRequest.mCustomer,
                                aRequest.mService, aRequest.mBodyHash));
}

Duration RetryAfterOf(ErrorKind aError) {
  if (aError == ErrorKind::HostNotReady) {
    return kNotReadyRetryAfter;
  }
  return aError == ErrorKind::TooManyKeys ? kTooManyKeysRetryAfter
                                          : Duration::zero();
}

}  // namespace

CallEngine::CallEngine(HostIdentity aIdentity, TimePoint aNow,
                       OutcomeTableLimits aLimits)
    : mIdentity(std::move(aIdentity)),
      mConfiguration(std::make_shared<Configuration>()),
      mLedger(mIdentity.mName, aNow),
      mOutcomes(mIdentity.mName, mIdentity.mIncarnation, aNow, aLimits),
      mLastControlIteration(aNow),
      mNow(aNow) {}

void CallEngine::Apply(PreparedConfiguration aPrepared, TimePoint aNow) {
  mConfiguration = aPrepared.mConfiguration;
  mLedger.Apply(std::move(aPrepared), aNow);
  ConfigureServices(aNow);
}

void CallEngine::ConfigureServices(TimePoint aNow) {
  mHostsSharing = mLedger.HostsSharing();
  for (const auto& [name, service] : mConfiguration->mServices) {
    auto found = mServices.find(name);
    if (found == mServices.end()) {
      const auto seed =
          static_cast<std::uint32_t>(mIdentity.mIncarnation ^ StableHash(name));
      ServiceState state{EndpointSelector(mIdentity.mDataCentre, seed)};
      state.mLastAnswer = aNow;
      found = mServices.emplace(name, std::move(state)).first;
    }
    found->second.mSelector.Configure(service, mHostsSharing, aNow);
  }
}

bool CallEngine::IsReady(TimePoint aNow) const {
  return mReady && aNow - mLastControlIteration < kMaxControlGap;
}

CallActions CallEngine::Arrive(CallId aId, const CallRequest& aRequest,
                               TimePoint aNow) {
  CallActions actions;
  mNow = aNow;
  ++mCounts.mArrived;
  Call& call = mCalls[aId];
  call.mRequest = aRequest;
  call.mDeadline =
      aNow + aRequest.mCallerTimeout.value_or(kDefaultCallerTimeout);
  call.mFingerprint = FingerprintOf(aRequest);
  call.mIdempotent = IsIdempotent(aRequest.mMethod);
  call.mArrivedAt = aNow;
  call.mKind = RequestClassifier::KindOf(aRequest.mCustomer, aRequest.mMethod,
                                         aRequest.mTarget);
  // The key is handled before other checks: only its owner knows whether the
  // request was run, and the owner's refusal must be final.
  if (HandleKey(aId, call, aNow, actions)) {
    return actions;
  }
  if (const auto error = ValidateRequest(aRequest, aNow)) {
    Fail(aId, *error, RetryAfterOf(*error), actions);
    return actions;
  }
  const Duration maxTimeout =
      mConfiguration->mServices.at(aRequest.mService).mLongestDeadline;
  call.mDeadline =
      aNow + std::min(aRequest.mCallerTimeout.value_or(maxTimeout), maxTimeout);
  call.mPriority = mConfiguration->mContracts.at(aRequest.mCustomer).mPriority;
  const Duration quarantine =
      mQuarantineTracker.QuarantineRemaining(call.mFingerprint, aNow);
  if (quarantine > Duration::zero()) {
    Fail(aId, ErrorKind::Quarantined, quarantine, actions);
  } else if (aRequest.mHopReason == HopReason::Suspect) {
    Dispatch(aId, call, aNow, actions);
  } else {
    Admit(aId, call, aNow, actions);
  }
  return actions;
}

std::optional<ErrorKind> CallEngine::ValidateRequest(
    const CallRequest& aRequest, TimePoint aNow) const {
  if (!IsReady(aNow)) {
    return ErrorKind::HostNotReady;
  }
  const auto contract = mConfiguration->mContracts.find(aRequest.mCustomer);
  if (contract == mConfiguration->mContracts.end()) {
    return ErrorKind::UnknownCustomer;
  }
  if (!mConfiguration->mServices.contains(aRequest.mService)) {
    return ErrorKind::UnknownService;
  }
  const auto& services = contract->second.mServices;
  if (std::find(services.begin(), services.end(), aRequest.mService) ==
      services.end()) {
    return ErrorKind::ServiceNotInContract;
  }
  if (aRequest.mCallerTimeout && *aRequest.mCallerTimeout <= Duration::zero()) {
    return ErrorKind::DeadlinePassed;
  }
  const bool needsKey =
      !IsIdempotent(aRequest.mMethod) && aRequest.mHopReason == HopReason::None;
  if (needsKey && aRequest.mKey.empty()) {
    return ErrorKind::KeyMissing;
  }
  return std::nullopt;
}

bool CallEngine::HandleKey(CallId aId, Call& aCall, TimePoint aNow,
                           CallActions& aActions) {
  // The host that forwarded a call to use this host's quota keeps the key's
  // record.
  if (aCall.mRequest.mKey.empty() ||
      aCall.mRequest.mHopReason == HopReason::Quota) {
    return false;
  }
  const auto key = ParseRequestKey(aCall.mRequest.mKey);
  if (!key) {
    Fail(aId, ErrorKind::KeyMalformed, Duration::zero(), aActions);
    return true;
  }
  if (key->mHost != mIdentity.mName) {
    ForwardToKeyOwner(aId, aCall, *key, aNow, aActions);
    return true;
  }
  const KeyDecision decision = mOutcomes.Begin(aCall.mRequest.mKey, *key, aNow);
  if (decision.mVerdict == KeyVerdict::Run) {
    aCall.mOwnsKey = true;
    return false;
  }
  AnswerKnownKey(aId, decision, aActions);
  return true;
}

void CallEngine::AnswerKnownKey(CallId aId, const KeyDecision& aDecision,
                                CallActions& aActions) {
  if (aDecision.mVerdict == KeyVerdict::Refused) {
    Fail(aId, aDecision.mError, RetryAfterOf(aDecision.mError), aActions);
    return;
  }
  const KeyRecord& record = aDecision.mRecord;
  if (record.mResponse != nullptr) {
    Succeed(aId, record.mResponse, aActions);
    return;
  }
  const bool spent =
      !record.mRunning && AnswerOf(record.mError).mOutcome == Outcome::NotRun;
  Fail(aId, spent ? ErrorKind::KeySpent : record.mError, Duration::zero(),
       aActions);
}

CallActions CallEngine::CallerDisconnected(CallId aId, TimePoint aNow) {
  CallActions actions;
  mNow = aNow;
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return actions;
  }
  Call& call = found->second;
  const std::string service = call.mRequest.mService;
  if (call.mState == CallState::Waiting) {
    mServices.at(service).mQueue.Remove(aId);
    Fail(aId, ErrorKind::NeverSent, Duration::zero(), actions);
  } else if (call.mIdempotent && !call.mOwnsKey) {
    if (call.mState == CallState::AtEndpoint) {
      mServices.at(service).mLongInFlight -= call.mLong ? 1 : 0;
      mServices.at(service).mSelector.NoteAttemptEnded(
          call.mTarget, EndpointResult::Shed, std::nullopt,
          std::chrono::duration_cast<Duration>(aNow - call.mSentAt), aNow);
    }
    actions.emplace_back(CancelAction{aId});
    Fail(aId, ErrorKind::EndpointLost, Duration::zero(), actions);
    SendQueuedCalls(service, aNow, actions);
  }
  // A call with a key continues, so that its outcome can be queried later.
  return actions;
}

CallActions CallEngine::Tick(TimePoint aNow) {
  CallActions actions;
  mNow = aNow;
  mLedger.Tick(aNow);
  if (mLedger.HostsSharing() != mHostsSharing) {
    ConfigureServices(aNow);
  }
  mOutcomes.Tick(aNow);
  for (const std::uint64_t fingerprint : mQuarantineTracker.Tick(aNow)) {
    mQuarantineEvents.push_back(
        fmt::format("ended for request {:016x}", fingerprint));
  }
  mRemoteShares.Tick(aNow);
  for (auto& [name, service] : mServices) {
    for (const CallId id : service.mQueue.Expire(aNow)) {
      const Call& call = mCalls.at(id);
      Fail(id, ErrorKind::Overloaded, ExpectedWait(service, call), actions);
    }
    SendQueuedCalls(name, aNow, actions);
  }
  return actions;
}

KeyDecision CallEngine::FindOutcome(const std::string& aKeyText,
                                    TimePoint aNow) const {
  const auto key = ParseRequestKey(aKeyText);
  if (!key) {
    KeyDecision decision;
    decision.mError = ErrorKind::KeyMalformed;
    return decision;
  }
  return mOutcomes.Find(aKeyText, *key, aNow);
}

void CallEngine::NoteRemoteCrash(const CrashReport& aReport, TimePoint aNow) {
  if (mQuarantineTracker.NoteReport(aReport, aNow)) {
    mQuarantineEvents.push_back(
        fmt::format("started for request {:016x}, reported by another host",
                    aReport.mFingerprint));
  }
}

void CallEngine::NoteQuarantines(const std::vector<Quarantine>& aQuarantines,
                                 TimePoint aNow) {
  for (const Quarantine& quarantine : aQuarantines) {
    if (mQuarantineTracker.AddQuarantine(quarantine, aNow)) {
      mQuarantineEvents.push_back(
          fmt::format("started for request {:016x}, received in a heartbeat",
                      quarantine.mFingerprint));
    }
  }
}

std::vector<CrashReport> CallEngine::TakeCrashReports() {
  return std::exchange(mCrashReports, {});
}

std::vector<std::string> CallEngine::TakeQuarantineEvents() {
  return std::exchange(mQuarantineEvents, {});
}

std::uint64_t CallEngine::Probes() const {
  std::uint64_t probes = 0;
  for (const auto& [name, service] : mServices) {
    probes += service.mSelector.Probes();
  }
  return probes;
}

void CallEngine::AnswerWith(CallId aId,
                            std::shared_ptr<const Response> aResponse,
                            CallActions& aActions) {
  if (PromisesNotRun(aResponse->mStatus)) {
    // The caller would take the status for proof that the call was not run.
    Fail(aId, ErrorKind::UnconfirmedRefusal, Duration::zero(), aActions);
    return;
  }
  Succeed(aId, std::move(aResponse), aActions);
}

void CallEngine::Succeed(CallId aId, std::shared_ptr<const Response> aResponse,
                         CallActions& aActions) {
  const auto found = mCalls.find(aId);
  const Call& call = found->second;
  if (call.mOwnsKey) {
    mOutcomes.FinishAnswered(call.mRequest.mKey, aResponse);
  }
  if (call.mGrant) {
    mLedger.Release(*call.mGrant);
  }
  const std::uint64_t fingerprint = call.mFingerprint;
  mCalls.erase(found);
  ++mCounts.mAnswered;
  aActions.emplace_back(AnswerAction{aId, std::move(aResponse),
                                     ErrorKind::BadRequest, Duration::zero()});
  EndSuspectRun(aId, fingerprint, mNow, aActions);
}

void CallEngine::Fail(CallId aId, ErrorKind aError, Duration aRetryAfter,
                      CallActions& aActions) {
  const auto found = mCalls.find(aId);
  const Call& call = found->second;
  const bool isNotRun = AnswerOf(aError).mOutcome == Outcome::NotRun;
  const ErrorKind error =
      call.mMayHaveRun && isNotRun ? ErrorKind::EndpointLost : aError;
  if (call.mOwnsKey) {
    mOutcomes.FinishFailed(call.mRequest.mKey, error);
  }
  if (call.mGrant) {
    mLedger.Release(*call.mGrant);
  }
  CountError(call.mRequest.mCustomer, error);
  const std::uint64_t fingerprint = call.mFingerprint;
  mCalls.erase(found);
  aActions.emplace_back(AnswerAction{aId, nullptr, error, aRetryAfter});
  EndSuspectRun(aId, fingerprint, mNow, aActions);
}

void CallEngine::CountError(const std::string& aCustomer, ErrorKind aError) {
  ++mCounts.mErrors[aError];
  switch (AnswerOf(aError).mOutcome) {
    case Outcome::Answered:
      ++mCounts.mAnswered;
      break;
    case Outcome::NotRun:
      ++mCounts.mNotRun;
      break;
    case Outcome::Unknown:
      ++mCounts.mUnknown;
      break;
  }
  // Only customers with a contract are recorded, so that callers cannot make
  // the table grow without bound.
  if (mConfiguration->mContracts.contains(aCustomer)) {
    LastRefusal& refusal = mRefusals[aCustomer];
    refusal.mError = aError;
    ++refusal.mCount;
    refusal.mAt = mNow;
  }
}

}  // namespace papayawheel
