#include "core/gateway/crash_watch.h"

#include <algorithm>
#include <utility>

namespace papayawheel {
namespace {

/** An endpoint that crashed cannot be reached within this time. */
constexpr std::chrono::milliseconds kConfirmTime{2500};

/** How long a crash is remembered. */
constexpr std::chrono::seconds kMemory{60};

/** Endpoints that a request may crash before it is stopped. */
constexpr std::size_t kCrashesToStop = 2;

}  // namespace

void CrashWatch::NoteLost(const EndpointCrash& aCrash, TimePoint aNow) {
  std::vector<Lost>& lost = mLost[aCrash.mEndpoint];
  std::erase_if(lost, [aNow](const Lost& aLost) {
    return aNow - aLost.mAt > kConfirmTime;
  });
  lost.push_back(Lost{aCrash.mFingerprint, aNow});
}

void CrashWatch::NoteUnreachable(const std::string& aEndpoint, TimePoint aNow) {
  const auto found = mLost.find(aEndpoint);
  if (found == mLost.end()) {
    return;
  }
  const std::vector<Lost> lost = std::move(found->second);
  mLost.erase(found);
  for (const Lost& one : lost) {
    if (aNow - one.mAt <= kConfirmTime) {
      const EndpointCrash crash{one.mFingerprint, aEndpoint};
      NoteCrash(crash, aNow);
      mNews.push_back(crash);
    }
  }
}

void CrashWatch::NoteAlive(const std::string& aEndpoint) {
  mLost.erase(aEndpoint);
}

void CrashWatch::NoteCrash(const EndpointCrash& aCrash, TimePoint aNow) {
  std::erase_if(mSuspects, [aNow](const auto& aEntry) {
    return aEntry.second.mExpires <= aNow;
  });
  Suspect& suspect = mSuspects[aCrash.mFingerprint];
  suspect.mEndpoints.insert(aCrash.mEndpoint);
  suspect.mExpires = aNow + kMemory;
}

bool CrashWatch::IsStopped(std::uint64_t aFingerprint, TimePoint aNow) const {
  return Crashes(aFingerprint, aNow) >= kCrashesToStop;
}

bool CrashWatch::IsSuspect(std::uint64_t aFingerprint, TimePoint aNow) const {
  return Crashes(aFingerprint, aNow) > 0;
}

std::vector<EndpointCrash> CrashWatch::TakeNews() {
  return std::exchange(mNews, {});
}

std::size_t CrashWatch::Crashes(std::uint64_t aFingerprint,
                                TimePoint aNow) const {
  const auto found = mSuspects.find(aFingerprint);
  if (found == mSuspects.end() || found->second.mExpires <= aNow) {
    return 0;
  }
  return found->second.mEndpoints.size();
}

}  // namespace papayawheel
