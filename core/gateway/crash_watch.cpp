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

std::string_view CrashNoteName(CrashNote::Kind aKind) {
  switch (aKind) {
    case CrashNote::Kind::Suspected:
      return "suspected";
    case CrashNote::Kind::Confirmed:
      return "confirmed";
    case CrashNote::Kind::Acquitted:
      return "acquitted";
    case CrashNote::Kind::Unproved:
      return "unproved";
    case CrashNote::Kind::Told:
      return "told";
  }
  return "unknown";
}

void CrashWatch::NoteLost(const EndpointCrash& aCrash, TimePoint aNow) {
  std::vector<Lost>& lost = mLost[aCrash.mEndpoint];
  for (const Lost& one : lost) {
    if (aNow - one.mAt > kConfirmTime) {
      AddNote(CrashNote::Kind::Unproved,
              EndpointCrash{one.mFingerprint, aCrash.mEndpoint}, aNow);
    }
  }
  std::erase_if(lost, [aNow](const Lost& aLost) {
    return aNow - aLost.mAt > kConfirmTime;
  });
  lost.push_back(Lost{aCrash.mFingerprint, aNow});
  AddNote(CrashNote::Kind::Suspected, aCrash, aNow);
}

void CrashWatch::NoteUnreachable(const std::string& aEndpoint, TimePoint aNow) {
  const auto found = mLost.find(aEndpoint);
  if (found == mLost.end()) {
    return;
  }
  const std::vector<Lost> lost = std::move(found->second);
  mLost.erase(found);
  for (const Lost& one : lost) {
    const EndpointCrash crash{one.mFingerprint, aEndpoint};
    if (aNow - one.mAt > kConfirmTime) {
      AddNote(CrashNote::Kind::Unproved, crash, aNow);
      continue;
    }
    Record(crash, aNow);
    AddNote(CrashNote::Kind::Confirmed, crash, aNow);
    mNews.push_back(crash);
  }
}

void CrashWatch::NoteAlive(const std::string& aEndpoint, TimePoint aNow) {
  const auto found = mLost.find(aEndpoint);
  if (found == mLost.end()) {
    return;
  }
  for (const Lost& one : found->second) {
    AddNote(CrashNote::Kind::Acquitted,
            EndpointCrash{one.mFingerprint, aEndpoint}, aNow);
  }
  mLost.erase(found);
}

void CrashWatch::NoteCrash(const EndpointCrash& aCrash, TimePoint aNow) {
  Record(aCrash, aNow);
  AddNote(CrashNote::Kind::Told, aCrash, aNow);
}

void CrashWatch::Record(const EndpointCrash& aCrash, TimePoint aNow) {
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

std::vector<CrashNote> CrashWatch::TakeNotes() {
  return std::exchange(mNotes, {});
}

void CrashWatch::AddNote(CrashNote::Kind aKind, const EndpointCrash& aCrash,
                         TimePoint aNow) {
  mNotes.push_back(
      CrashNote{aKind, aCrash, Crashes(aCrash.mFingerprint, aNow)});
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
