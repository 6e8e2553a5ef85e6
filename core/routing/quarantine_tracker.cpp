#include "core/routing/quarantine_tracker.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Quarantines with no more than this remaining are not exchanged: a host where
 * one has already ended would take it for a new one. */
constexpr std::chrono::seconds kMinSharedRemaining{5};

}  // namespace

bool QuarantineTracker::NoteReport(const CrashReport& aReport, TimePoint aNow) {
  if (aReport.mDismissed) {
    NoteAnswered(aReport.mFingerprint);
    return false;
  }
  Suspect& suspect = mSuspects[aReport.mFingerprint];
  if (suspect.mExpires <= aNow) {
    suspect.mCrashes = 0;
  }
  suspect.mExpires = aNow + kQuarantineTime;
  ++suspect.mCrashes;
  return suspect.mCrashes == kCrashesToQuarantine;
}

bool QuarantineTracker::NoteAnswered(std::uint64_t aFingerprint) {
  const auto found = mSuspects.find(aFingerprint);
  if (found == mSuspects.end() ||
      found->second.mCrashes >= kCrashesToQuarantine) {
    return false;
  }
  mSuspects.erase(found);
  return true;
}

bool QuarantineTracker::IsSuspect(std::uint64_t aFingerprint,
                                  TimePoint aNow) const {
  const auto found = mSuspects.find(aFingerprint);
  return found != mSuspects.end() && found->second.mExpires > aNow &&
         found->second.mCrashes < kCrashesToQuarantine;
}

Duration QuarantineTracker::QuarantineRemaining(std::uint64_t aFingerprint,
                                                TimePoint aNow) const {
  const auto found = mSuspects.find(aFingerprint);
  if (found == mSuspects.end() || found->second.mExpires <= aNow ||
      found->second.mCrashes < kCrashesToQuarantine) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(found->second.mExpires - aNow);
}

std::vector<Quarantine> QuarantineTracker::Quarantines(TimePoint aNow) const {
  std::vector<Quarantine> quarantines;
  for (const auto& [fingerprint, suspect] : mSuspects) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(
        QuarantineRemaining(fingerprint, aNow));
    if (remaining > kMinSharedRemaining) {
      quarantines.push_back(Quarantine{fingerprint, remaining});
    }
  }
  return quarantines;
}

bool QuarantineTracker::AddQuarantine(const Quarantine& aQuarantine,
                                      TimePoint aNow) {
  const bool known =
      QuarantineRemaining(aQuarantine.mFingerprint, aNow) > Duration::zero();
  if (known || aQuarantine.mRemaining <= kMinSharedRemaining) {
    return false;
  }
  Suspect& suspect = mSuspects[aQuarantine.mFingerprint];
  suspect.mCrashes = kCrashesToQuarantine;
  suspect.mExpires =
      aNow + std::min<milliseconds>(aQuarantine.mRemaining, kQuarantineTime);
  return true;
}

std::vector<std::uint64_t> QuarantineTracker::Tick(TimePoint aNow) {
  std::vector<std::uint64_t> ended;
  for (auto it = mSuspects.begin(); it != mSuspects.end();) {
    if (it->second.mExpires > aNow) {
      ++it;
      continue;
    }
    if (it->second.mCrashes >= kCrashesToQuarantine) {
      ended.push_back(it->first);
    }
    it = mSuspects.erase(it);
  }
  return ended;
}

}  // namespace papayawheel
