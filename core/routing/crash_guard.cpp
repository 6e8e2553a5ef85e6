#include "core/routing/crash_guard.h"

namespace papayawheel {

bool CrashGuard::NoteCrash(const CrashReport& aReport, TimePoint aNow) {
  Suspect& suspect = mSuspects[aReport.mFingerprint];
  const bool added = suspect.mEndpoints.insert(aReport.mEndpoint).second;
  if (added) {
    suspect.mExpires = aNow + kQuarantineTime;
  }
  return added && suspect.mEndpoints.size() == kCrashesToQuarantine;
}

void CrashGuard::NoteAnswered(std::uint64_t aFingerprint) {
  const auto found = mSuspects.find(aFingerprint);
  if (found != mSuspects.end() &&
      found->second.mEndpoints.size() < kCrashesToQuarantine) {
    mSuspects.erase(found);
  }
}

Duration CrashGuard::Remaining(std::uint64_t aFingerprint,
                               TimePoint aNow) const {
  const auto found = mSuspects.find(aFingerprint);
  if (found == mSuspects.end() || found->second.mExpires <= aNow ||
      found->second.mEndpoints.size() < kCrashesToQuarantine) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(found->second.mExpires - aNow);
}

std::vector<std::uint64_t> CrashGuard::Tick(TimePoint aNow) {
  std::vector<std::uint64_t> ended;
  for (auto it = mSuspects.begin(); it != mSuspects.end();) {
    if (it->second.mExpires > aNow) {
      ++it;
      continue;
    }
    if (it->second.mEndpoints.size() >= kCrashesToQuarantine) {
      ended.push_back(it->first);
    }
    it = mSuspects.erase(it);
  }
  return ended;
}

}  // namespace papayawheel
