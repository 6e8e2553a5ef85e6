#include "core/gateway/crash_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** An endpoint that answers a question sent so soon after a loss did not end in
 * between: no program is back so soon. */
constexpr milliseconds kMinRestartTime{250};

/** A suspicion that nothing proves is dropped after this: an endpoint that is
 * dark is taken from what is published sooner. */
constexpr seconds kSuspicionTimeout{20};

/** An endpoint that has started anew is published as such within this time. */
constexpr seconds kMaxPublishDelay{5};

/** Pause before an endpoint that gave no word is asked again; it doubles. */
constexpr milliseconds kFirstCheckInterval{25};

/** Endpoints under suspicion that are remembered, and attempts at each. */
constexpr std::size_t kMaxSuspectEndpoints = 4096;
constexpr std::size_t kMaxSuspicionsPerEndpoint = 64;

/** Rounded once, so that two events of one moment stay at one moment. */
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
                                    const LostAttempt& aRun, TimePoint aNow) {
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
  SuspectEndpoint& suspicion = found->second;
  if (suspicion.mSuspicions.size() >= kMaxSuspicionsPerEndpoint) {
    return;
  }
  suspicion.mEndpoint = aEndpoint;
  suspicion.mSuspicions.push_back(
      Suspicion{aRun, false, aNow + kSuspicionTimeout});
  suspicion.mNextCheck = aNow;
  suspicion.mCheckInterval = kFirstCheckInterval;
  AddEvent(CrashEvent::Step::Suspected, CrashEvent::Proof::None, aEndpoint.mId,
           aRun, aNow);
}

void CrashDetector::NoteLiveness(const std::string& aEndpoint,
                                 EndpointSight aSight, TimePoint aAskedAt,
                                 TimePoint aNow) {
  const auto found = mSuspectEndpoints.find(aEndpoint);
  if (found == mSuspectEndpoints.end()) {
    return;
  }
  switch (aSight) {
    case EndpointSight::Unclear:
      break;
    case EndpointSight::Nobody:
      Confirm(found, CrashEvent::Proof::Refused, false, aNow);
      break;
    case EndpointSight::Another:
      Confirm(found, CrashEvent::Proof::Replaced, false, aNow);
      break;
    case EndpointSight::Itself:
      DismissSuspicions(found->second, aAskedAt, aNow);
      if (found->second.mSuspicions.empty()) {
        mSuspectEndpoints.erase(found);
      }
      break;
  }
}

void CrashDetector::DismissSuspicions(SuspectEndpoint& aSuspicion,
                                      TimePoint aAskedAt, TimePoint aNow) {
  std::erase_if(aSuspicion.mSuspicions, [&](Suspicion& aPending) {
    const auto since = aAskedAt - aPending.mAttempt.mEndedAt;
    if (since < Duration::zero()) {
      return false;
    }
    if (since > kMinRestartTime) {
      aPending.mSeenAlive = true;
      aPending.mExpires =
          std::min<TimePoint>(aPending.mExpires, aNow + kMaxPublishDelay);
      return false;
    }
    AddEvent(CrashEvent::Step::Dismissed, CrashEvent::Proof::None,
             aSuspicion.mEndpoint.mId, aPending.mAttempt, aNow);
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
    SuspectEndpoints::iterator aSuspicion, CrashEvent::Proof aProof,
    bool aAlsoSeenAlive, TimePoint aNow) {
  const std::string endpoint = aSuspicion->first;
  const std::vector<Suspicion> runs = std::move(aSuspicion->second.mSuspicions);
  const auto next = mSuspectEndpoints.erase(aSuspicion);
  for (const Suspicion& pending : runs) {
    if (pending.mSeenAlive && !aAlsoSeenAlive) {
      AddEvent(CrashEvent::Step::Dismissed, aProof, endpoint, pending.mAttempt,
               aNow);
      continue;
    }
    AddRecord(endpoint, pending.mAttempt, aNow);
    AddEvent(CrashEvent::Step::Confirmed, aProof, endpoint, pending.mAttempt,
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
  const LostAttempt run{aFingerprint, "", aSentAt, aNow};
  AddRecord("", run, aNow);
  AddEvent(CrashEvent::Step::Refuted, CrashEvent::Proof::None, "", run, aNow);
}

void CrashDetector::AddRecord(const std::string& aEndpoint,
                              const LostAttempt& aRun, TimePoint aNow) {
  const Duration sent = SinceEpoch(aRun.mSentAt);
  const Duration ended = SinceEpoch(aRun.mEndedAt);
  CrashRecord record;
  record.mId = StableHash(fmt::format("{}/{}", mOrigin, ++mLastRecord));
  record.mOrigin = mOrigin;
  record.mOriginTime = ended;
  record.mFingerprint = aRun.mFingerprint;
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
  const auto suspicion = mSuspectEndpoints.find(aRecord.mEndpoint);
  if (suspicion != mSuspectEndpoints.end()) {
    Confirm(suspicion, CrashEvent::Proof::OtherHost, false, aNow);
  }
}

std::vector<CrashDetector::HealthCheck> CrashDetector::TakeHealthChecks(
    TimePoint aNow) {
  std::vector<HealthCheck> questions;
  for (auto it = mSuspectEndpoints.begin(); it != mSuspectEndpoints.end();) {
    SuspectEndpoint& suspicion = it->second;
    if (suspicion.mNextCheck > aNow) {
      ++it;
      continue;
    }
    std::erase_if(suspicion.mSuspicions, [&](const Suspicion& aPending) {
      if (aPending.mExpires > aNow) {
        return false;
      }
      AddEvent(aPending.mSeenAlive ? CrashEvent::Step::Dismissed
                                   : CrashEvent::Step::Unconfirmed,
               CrashEvent::Proof::None, it->first, aPending.mAttempt, aNow);
      return true;
    });
    if (suspicion.mSuspicions.empty()) {
      it = mSuspectEndpoints.erase(it);
      continue;
    }
    suspicion.mNextCheck = aNow + suspicion.mCheckInterval;
    suspicion.mCheckInterval *= 2;
    questions.push_back(HealthCheck{suspicion.mEndpoint.mService, it->first,
                                    suspicion.mEndpoint.mAddress});
    ++it;
  }
  return questions;
}

std::optional<TimePoint> CrashDetector::NextHealthCheck() const {
  std::optional<TimePoint> next;
  for (const auto& [endpoint, suspicion] : mSuspectEndpoints) {
    next = next ? std::min(*next, suspicion.mNextCheck) : suspicion.mNextCheck;
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
                             const LostAttempt& aRun, TimePoint aNow) {
  mEvents.push_back(CrashEvent{aStep, aProof, aRun.mFingerprint, aEndpoint,
                               aRun.mRequestId,
                               mLedger.CountCrashes(aRun.mFingerprint, aNow)});
}

}  // namespace papayawheel
