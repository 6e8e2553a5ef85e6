#include "core/gateway/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace papayawheel {
namespace {

using std::chrono::seconds;

/** Sequential crashes after which a request is quarantined. */
constexpr std::size_t kCrashesBeforeQuarantine = 2;

/** Length of the first quarantine, and how many times it may double. */
constexpr seconds kFirstQuarantine{60};
constexpr std::size_t kMaxDoublings = 5;

/** Age at which records of a request that was never quarantined expire. */
constexpr seconds kRetention{60};
/** The same for a request that was quarantined. Must exceed the longest
 * quarantine, which is 60 s * 2^5 = 1920 s. */
constexpr seconds kQuarantinedRetention{3600};
/** Maximum time that a record takes to reach a host. */
constexpr seconds kMaxPropagationDelay{5};
/** Records are not shared in the last part of their retention time: on another
 * host they may have expired already and would be added again as new. */
constexpr seconds kUnsharedTime{10};

/** Maximum number of fingerprints, and of records for each. */
constexpr std::size_t kMaxRequests = 4096;
constexpr std::size_t kMaxRecordsPerRequest = 32;

}  // namespace

bool CrashLedger::Add(const CrashRecord& aRecord, TimePoint aNow) {
  if (aRecord.mEndedAgo >= kQuarantinedRetention - kUnsharedTime) {
    return false;
  }
  if (!mEntries.contains(aRecord.mFingerprint)) {
    EvictIfFull(aNow);
  }
  Entries& entries = mEntries[aRecord.mFingerprint];
  Expire(entries, aNow);
  const bool known = std::any_of(
      entries.begin(), entries.end(),
      [&](const Entry& aEntry) { return aEntry.mRecord.mId == aRecord.mId; });
  if (known || entries.size() >= kMaxRecordsPerRequest) {
    return false;
  }
  Entry entry;
  entry.mRecord = aRecord;
  entry.mEndedAt = aNow - aRecord.mEndedAgo;
  const auto sibling =
      std::find_if(entries.begin(), entries.end(), [&](const Entry& aEntry) {
        return aEntry.mRecord.mOrigin == aRecord.mOrigin;
      });
  if (sibling != entries.end()) {
    // Each record is delayed by a different time on its way, so the interval
    // between two records of one host is taken from the clock of that host.
    const TimePoint byOrigin =
        sibling->mEndedAt +
        (aRecord.mOriginTime - sibling->mRecord.mOriginTime);
    const bool credible = byOrigin > entry.mEndedAt - kMaxPropagationDelay &&
                          byOrigin < entry.mEndedAt + kMaxPropagationDelay;
    entry.mEndedAt = credible ? byOrigin : entry.mEndedAt;
  }
  entry.mSentAt = entry.mEndedAt - aRecord.mAttemptDuration;
  const auto isEarlier = [](const Entry& aLeft, const Entry& aRight) {
    return aLeft.mEndedAt < aRight.mEndedAt;
  };
  entries.insert(
      std::upper_bound(entries.begin(), entries.end(), entry, isEarlier),
      std::move(entry));
  return true;
}

std::size_t CrashLedger::CountCrashes(std::uint64_t aFingerprint,
                                      TimePoint aNow) const {
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return 0;
  }
  Entries current = found->second;
  Expire(current, aNow);
  return CountSequentialCrashes(current, LatestRefutation(current));
}

Duration CrashLedger::QuarantineRemaining(std::uint64_t aFingerprint,
                                          TimePoint aNow) const {
  const std::size_t crashes = CountCrashes(aFingerprint, aNow);
  if (crashes < kCrashesBeforeQuarantine) {
    return Duration::zero();
  }
  const Entries& entries = mEntries.at(aFingerprint);
  const auto last = std::find_if(
      entries.rbegin(), entries.rend(),
      [](const Entry& aEntry) { return !aEntry.mRecord.IsRefutation(); });
  const std::size_t doublings =
      std::min(crashes - kCrashesBeforeQuarantine, kMaxDoublings);
  const TimePoint until = last->mEndedAt + kFirstQuarantine * (1U << doublings);
  return std::max(Duration::zero(),
                  std::chrono::duration_cast<Duration>(until - aNow));
}

std::vector<CrashRecord> CrashLedger::RecordsToShare(TimePoint aNow) const {
  std::vector<CrashRecord> shared;
  for (const auto& [fingerprint, entries] : mEntries) {
    if (CountSequentialCrashes(entries, TimePoint::min()) <
        kCrashesBeforeQuarantine) {
      continue;
    }
    for (const Entry& entry : entries) {
      if (IsCurrent(entry, aNow)) {
        CrashRecord record = entry.mRecord;
        record.mEndedAgo =
            std::chrono::duration_cast<Duration>(aNow - entry.mEndedAt);
        shared.push_back(std::move(record));
      }
    }
  }
  return shared;
}

std::uint64_t CrashLedger::Digest(TimePoint aNow) const {
  std::uint64_t digest = 0;
  for (const CrashRecord& record : RecordsToShare(aNow)) {
    digest ^= record.mId;
  }
  return digest;
}

std::size_t CrashLedger::CountSequentialCrashes(const Entries& aEntries,
                                                TimePoint aAfter) {
  std::size_t count = 0;
  TimePoint last = TimePoint::min();
  for (const Entry& entry : aEntries) {
    const bool counts =
        !entry.mRecord.IsRefutation() && entry.mEndedAt > aAfter;
    if (counts && entry.mSentAt >= last) {
      ++count;
      last = entry.mEndedAt;
    }
  }
  return count;
}

TimePoint CrashLedger::LatestRefutation(const Entries& aEntries) {
  TimePoint refuted = TimePoint::min();
  for (const Entry& entry : aEntries) {
    if (entry.mRecord.IsRefutation()) {
      refuted = std::max(refuted, entry.mSentAt);
    }
  }
  return refuted;
}

bool CrashLedger::IsCurrent(const Entry& aEntry, TimePoint aNow) {
  return aNow - aEntry.mEndedAt < kQuarantinedRetention - kUnsharedTime;
}

void CrashLedger::Expire(Entries& aEntries, TimePoint aNow) {
  const bool wasQuarantined =
      CountSequentialCrashes(aEntries, TimePoint::min()) >=
      kCrashesBeforeQuarantine;
  const seconds retention = wasQuarantined ? kQuarantinedRetention : kRetention;
  std::erase_if(aEntries, [&](const Entry& aEntry) {
    return aNow - aEntry.mEndedAt >= retention;
  });
}

void CrashLedger::RemoveExpired(TimePoint aNow) {
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    Expire(it->second, aNow);
    it = it->second.empty() ? mEntries.erase(it) : std::next(it);
  }
}

void CrashLedger::EvictIfFull(TimePoint aNow) {
  if (mEntries.size() < kMaxRequests) {
    return;
  }
  RemoveExpired(aNow);
  if (mEntries.size() < kMaxRequests) {
    return;
  }
  // Evicts the request with the fewest crashes, the oldest of them: those that
  // were never quarantined matter least.
  const auto worth = [](const Entries& aEntries) {
    return std::pair(CountSequentialCrashes(aEntries, TimePoint::min()),
                     aEntries.back().mEndedAt);
  };
  mEntries.erase(std::min_element(mEntries.begin(), mEntries.end(),
                                  [&](const auto& aLeft, const auto& aRight) {
                                    return worth(aLeft.second) <
                                           worth(aRight.second);
                                  }));
}

}  // namespace papayawheel
