#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/crash_record.h"

namespace papayawheel {

/** Crash records of all hosts. A request is quarantined, which means refused
 * for a time, after two sequential crashes.
 *
 * Records are never changed and expire by age only, so hosts that receive the
 * same records, in any order and any number of times, reach the same result.
 *
 * Only sequential crashes count against a request. Copies of a request that ran
 * at the same time may have been lost to one other cause, such as the failure
 * of a rack. An answered attempt refutes all crashes before it was sent. */
class CrashLedger {
 public:
  /** Adds a record. Returns false if it is known, too old, or one too many for
   * its request. */
  bool Add(const CrashRecord& aRecord, TimePoint aNow);

  /** Number of sequential crashes that no later answer refutes. */
  [[nodiscard]] std::size_t CountCrashes(std::uint64_t aFingerprint,
                                         TimePoint aNow) const;

  /** Remaining time for which requests with this fingerprint are refused; zero
   * if they may be sent. Each crash after a quarantine doubles the next one. */
  [[nodiscard]] Duration QuarantineRemaining(std::uint64_t aFingerprint,
                                             TimePoint aNow) const;

  /** Records that every host needs: those of requests that were quarantined,
   * whether refuted since or not. */
  [[nodiscard]] std::vector<CrashRecord> RecordsToShare(TimePoint aNow) const;

  /** Hash of RecordsToShare(), independent of their order; 0 if there are none.
   */
  [[nodiscard]] std::uint64_t Digest(TimePoint aNow) const;

  void RemoveExpired(TimePoint aNow);

  /** Number of fingerprints that have records. */
  [[nodiscard]] std::size_t Size() const { return mEntries.size(); }

 private:
  struct Entry {
    CrashRecord mRecord;
    TimePoint mSentAt;
    TimePoint mEndedAt;
  };
  using Entries = std::vector<Entry>;

  /** Counts crashes after a time, each of an attempt that was sent after the
   * previous counted one had crashed. */
  static std::size_t CountSequentialCrashes(const Entries& aEntries,
                                            TimePoint aAfter);
  /** When the latest answered attempt was sent. */
  static TimePoint LatestRefutation(const Entries& aEntries);
  static bool IsCurrent(const Entry& aEntry, TimePoint aNow);
  static void Expire(Entries& aEntries, TimePoint aNow);
  /** Makes room for one more fingerprint. */
  void EvictIfFull(TimePoint aNow);

  /** By fingerprint, ordered by mEndedAt. */
  std::unordered_map<std::uint64_t, Entries> mEntries;
};

}  // namespace papayawheel
