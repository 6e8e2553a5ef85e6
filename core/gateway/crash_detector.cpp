#include "core/gateway/crash_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** An endpoint that answers a health check sent within this time of a lost
 * attempt has not restarted in between, since no program restarts faster. */
constexpr milliseconds kMinRestartTime{250};

/** Time after which a suspicion is dropped as unconfirmed. An unresponsive
 * endpoint is removed from the published ones sooner, which confirms
 * the suspicion. */
constexpr seconds kSuspicionTimeout{20};

/** Maximum time until a restarted endpoint is published as such. */
constexpr seconds kMaxPublishDelay{5};

/** Time until the second health check of an endpoint; doubles for each further
 * one. */
constexpr milliseconds kFirstCheckInterval{25};

/** Maximum number of suspect endpoints, and of suspicions for each. */
constexpr std::size_t kMaxSuspectEndpoints = 4096;
constexpr std::size_t kMaxSuspicionsPerEndpoint = 64;

/** Rounds a time point before differences are taken. Rounding the differences
 * would let a retry seem to start before the first attempt ended. */
Duration SinceEpoch(TimePoint aTime) {
  return std::chrono::duration_cast<Duration>(aTime.time_since_epoch());
}

}  // namespace

std::string_view CrashEventStepName(CrashEvent::Step aStep) {
  switch (aStep) {
    case CrashEvent::Step::Suspected:
      return "suspected";
    case CrashEvent::Step::Confirmed:
      return "confirmed";
    case CrashEvent::Step::Dismissed:
      return "acquitted";
    case CrashEvent::Step::Unconfirmed:
      return "unproved";
    case CrashEvent::Step::ConfirmedRemotely:
      return "told";
    case CrashEvent::Step::Refuted:
      return "cleared";
  }
  return "unknown";
}

std::string_view CrashEventProofName(CrashEvent::Proof aProof) {
  switch (aProof) {
    case CrashEvent::Proof::None:
      return "none";
    case CrashEvent::Proof::Refused:
      return "refused";
    case CrashEvent::Proof::Replaced:
      return "replaced";
    case CrashEvent::Proof::Restarted:
      return "restarted";
    case CrashEvent::Proof::Removed:
      return "removed";
    case CrashEvent::Proof::OtherHost:
      return "other_host";
  }
  return "unknown";
}

void CrashDetector::NoteLostAttempt(const EndpointEntry& aEndpoint,
                                    const LostAttempt& aAttempt,
                                    TimePoint aNow) {
  auto found = mSuspectEndpoints.find(aEndpoint.mId);
  if (found != mSuspectEndpoints.end() &&
      !IsSameStart(found->second.mEndpoint, aEndpoint)) {
    Confirm(found, CrashEvent::Proof::Restarted, true, aNow);
    found = mSuspectEndpoints.end();
  }
  if (found == mSuspectEndpoints.end()) {
    if (mSuspectEndpoints.size() >= kMaxSuspectEndpoints) {
      return;
    }
    found = mSuspectEndpoints.emplace(aEndpoint.mId, SuspectEndpoint{}).first;
  }
  SuspectEndpoint& suspect = found->second;
  if (suspect.mSuspicions.size() >= kMaxSuspicionsPerEndpoint) {
    return;
  }
  suspect.mEndpoint = aEndpoint;
  suspect.mSuspicions.push_back(
      Suspicion{aAttempt, false, aNow + kSuspicionTimeout});
  suspect.mNextCheck = aNow;
  suspect.mCheckInterval = kFirstCheckInterval;
  AddEvent(CrashEvent::Step::Suspected, CrashEvent::Proof::None, aEndpoint.mId,
           aAttempt, aNow);
}

void CrashDetector::NoteLiveness(const std::string& aEndpoint,
                                 EndpointLiveness aLiveness, TimePoint aSentAt,
                                 TimePoint aNow) {
  const auto found = mSuspectEndpoints.find(aEndpoint);
  if (found == mSuspectEndpoints.end()) {
    return;
  }
  switch (aLiveness) {
    case EndpointLiveness::Unknown:
      break;
    case EndpointLiveness::Refused:
      Confirm(found, CrashEvent::Proof::Refused, false, aNow);
      break;
    case EndpointLiveness::Replaced:
      Confirm(found, CrashEvent::Proof::Replaced, false, aNow);
      break;
    case EndpointLiveness::Alive:
      DismissSuspicions(found->second, aSentAt, aNow);
      if (found->second.mSuspicions.empty()) {
        mSuspectEndpoints.erase(found);
      }
      break;
  }
}

void CrashDetector::DismissSuspicions(SuspectEndpoint& aSuspect,
                                      TimePoint aSentAt, TimePoint aNow) {
  std::erase_if(aSuspect.mSuspicions, [&](Suspicion& aSuspicion) {
    const auto since = aSentAt - aSuspicion.mAttempt.mEndedAt;
    if (since < Duration::zero()) {
      return false;
    }
    if (since > kMinRestartTime) {
      aSuspicion.mSeenAlive = true;
      aSuspicion.mExpires =
          std::min<TimePoint>(aSuspicion.mExpires, aNow + kMaxPublishDelay);
      return false;
    }
    AddEvent(CrashEvent::Step::Dismissed, CrashEvent::Proof::None,
             aSuspect.mEndpoint.mId, aSuspicion.mAttempt, aNow);
    return true;
  });
}

void CrashDetector::NotePublished(const EndpointMap& aEndpoints,
                                  TimePoint aNow) {
  for (auto it = mSuspectEndpoints.begin(); it != mSuspectEndpoints.end();) {
    const EndpointEntry& suspect = it->second.mEndpoint;
    const auto entry = aEndpoints.find(it->first);
    if (entry == aEndpoints.end()) {
      it = Confirm(it, CrashEvent::Proof::Removed, false, aNow);
    } else if (!IsSameStart(entry->second, suspect)) {
      it = Confirm(it, CrashEvent::Proof::Restarted, true, aNow);
    } else {
      ++it;
    }
  }
}

CrashDetector::SuspectEndpoints::iterator CrashDetector::Confirm(
    SuspectEndpoints::iterator aSuspect, CrashEvent::Proof aProof,
    bool aAlsoSeenAlive, TimePoint aNow) {
  const std::string endpoint = aSuspect->first;
  const std::vector<Suspicion> suspicions =
      std::move(aSuspect->second.mSuspicions);
  const auto next = mSuspectEndpoints.erase(aSuspect);
  for (const Suspicion& suspicion : suspicions) {
    if (suspicion.mSeenAlive && !aAlsoSeenAlive) {
      AddEvent(CrashEvent::Step::Dismissed, aProof, endpoint,
               suspicion.mAttempt, aNow);
      continue;
    }
    AddRecord(endpoint, suspicion.mAttempt, aNow);
    AddEvent(CrashEvent::Step::Confirmed, aProof, endpoint, suspicion.mAttempt,
             aNow);
  }
  return next;
}

void CrashDetector::NoteAnswered(std::uint64_t aFingerprint, TimePoint aSentAt,
                                 TimePoint aNow) {
  const std::size_t before = mLedger.CountCrashes(aFingerprint, aNow);
  if (before == 0) {
    return;
  }
  const LostAttempt attempt{aFingerprint, "", aSentAt, aNow};
  AddRecord("", attempt, aNow);
  AddEvent(CrashEvent::Step::Refuted, CrashEvent::Proof::None, "", attempt,
           aNow);
}

void CrashDetector::AddRecord(const std::string& aEndpoint,
                              const LostAttempt& aAttempt, TimePoint aNow) {
  const Duration sent = SinceEpoch(aAttempt.mSentAt);
  const Duration ended = SinceEpoch(aAttempt.mEndedAt);
  CrashRecord record;
  record.mId = StableHash(fmt::format("{}/{}", mOrigin, ++mLastRecord));
  record.mOrigin = mOrigin;
  record.mOriginTime = ended;
  record.mFingerprint = aAttempt.mFingerprint;
  record.mEndpoint = aEndpoint;
  record.mEndedAgo = SinceEpoch(aNow) - ended;
  record.mAttemptDuration = ended - sent;
  if (mLedger.Add(record, aNow)) {
    mNewRecords.push_back(std::move(record));
  }
}

void CrashDetector::NoteRemoteRecord(const CrashRecord& aRecord,
                                     TimePoint aNow) {
  if (!mLedger.Add(aRecord, aNow)) {
    return;
  }
  AddEvent(aRecord.IsRefutation() ? CrashEvent::Step::Refuted
                                  : CrashEvent::Step::ConfirmedRemotely,
           CrashEvent::Proof::OtherHost, aRecord.mEndpoint,
           LostAttempt{aRecord.mFingerprint, "", aNow, aNow}, aNow);
  const auto suspect = mSuspectEndpoints.find(aRecord.mEndpoint);
  if (suspect != mSuspectEndpoints.end()) {
    Confirm(suspect, CrashEvent::Proof::OtherHost, false, aNow);
  }
}

std::vector<CrashDetector::HealthCheck> CrashDetector::TakeHealthChecks(
    TimePoint aNow) {
  std::vector<HealthCheck> checks;
  for (auto it = mSuspectEndpoints.begin(); it != mSuspectEndpoints.end();) {
    SuspectEndpoint& suspect = it->second;
    if (suspect.mNextCheck > aNow) {
      ++it;
      continue;
    }
    std::erase_if(suspect.mSuspicions, [&](const Suspicion& aSuspicion) {
      if (aSuspicion.mExpires > aNow) {
        return false;
      }
      AddEvent(aSuspicion.mSeenAlive ? CrashEvent::Step::Dismissed
                                     : CrashEvent::Step::Unconfirmed,
               CrashEvent::Proof::None, it->first, aSuspicion.mAttempt, aNow);
      return true;
    });
    if (suspect.mSuspicions.empty()) {
      it = mSuspectEndpoints.erase(it);
      continue;
    }
    suspect.mNextCheck = aNow + suspect.mCheckInterval;
    suspect.mCheckInterval *= 2;
    checks.push_back(HealthCheck{suspect.mEndpoint.mService, it->first,
                                 suspect.mEndpoint.mAddress});
    ++it;
  }
  return checks;
}

std::optional<TimePoint> CrashDetector::NextHealthCheck() const {
  std::optional<TimePoint> next;
  for (const auto& [endpoint, suspect] : mSuspectEndpoints) {
    next = next ? std::min(*next, suspect.mNextCheck) : suspect.mNextCheck;
  }
  return next;
}

Duration CrashDetector::QuarantineRemaining(std::uint64_t aFingerprint,
                                            TimePoint aNow) const {
  return mLedger.QuarantineRemaining(aFingerprint, aNow);
}

bool CrashDetector::IsQuarantined(std::uint64_t aFingerprint,
                                  TimePoint aNow) const {
  return mLedger.QuarantineRemaining(aFingerprint, aNow) > Duration::zero();
}

bool CrashDetector::IsSuspect(std::uint64_t aFingerprint,
                              TimePoint aNow) const {
  return mLedger.CountCrashes(aFingerprint, aNow) > 0;
}

std::vector<CrashRecord> CrashDetector::TakeNewRecords() {
  return std::exchange(mNewRecords, {});
}

std::vector<CrashEvent> CrashDetector::TakeEvents() {
  return std::exchange(mEvents, {});
}

void CrashDetector::AddEvent(CrashEvent::Step aStep, CrashEvent::Proof aProof,
                             const std::string& aEndpoint,
                             const LostAttempt& aAttempt, TimePoint aNow) {
  mEvents.push_back(CrashEvent{
      aStep, aProof, aAttempt.mFingerprint, aEndpoint, aAttempt.mRequestId,
      mLedger.CountCrashes(aAttempt.mFingerprint, aNow)});
}

}  // namespace papayawheel
