#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/crash_record.h"

namespace papayawheel {

/** What is known of requests that crash endpoints, from all hosts.
 *
 * Records are only added, and age alike everywhere, so hosts that hear the same
 * records, in any order and however often, believe the same.
 *
 * Only crashes that follow one another speak against a request: those of copies
 * that ran at the same time may have one other cause, such as the loss of a
 * rack. A request that was answered after it had been sent anew is cleared of
 * all that was before. */
class CrashLedger {
 public:
  /** Takes a record over; false if it is known already or too old. */
  bool Add(const CrashRecord& aRecord, TimePoint aNow);

  /** CountCrashes, one after the other, of which a request is not cleared. */
  [[nodiscard]] std::size_t CountCrashes(std::uint64_t aFingerprint,
                                         TimePoint aNow) const;

  /** How long requests like this one must not be sent; zero if they may be. It
   * doubles with each crash after the time was over. */
  [[nodiscard]] Duration QuarantineRemaining(std::uint64_t aFingerprint,
                                             TimePoint aNow) const;

  /** The records that every host has to know: those of requests that were
   * stopped, cleared or not. */
  [[nodiscard]] std::vector<CrashRecord> RecordsToShare(TimePoint aNow) const;

  /** Equal on hosts that share the same records; 0 if there are none. */
  [[nodiscard]] std::uint64_t Digest(TimePoint aNow) const;

  /** Drops what is too old to count. */
  void RemoveExpired(TimePoint aNow);

  /** Requests of which something is known. */
  [[nodiscard]] std::size_t Size() const { return mEntries.size(); }

 private:
  struct Entry {
    CrashRecord mRecord;
    TimePoint mSentAt;
    TimePoint mEndedAt;
  };
  using Entries = std::vector<Entry>;

  /** CountCrashes that follow one another, of those that ended after a time. */
  static std::size_t CountSequentialCrashes(const Entries& aEntries,
                                            TimePoint aAfter);
  /** When the latest request that was answered had been sent. */
  static TimePoint LatestRefutation(const Entries& aEntries);
  static bool IsCurrent(const Entry& aEntry, TimePoint aNow);
  /** Drops what is too old to count. */
  static void Expire(Entries& aEntries, TimePoint aNow);
  void EvictIfFull(TimePoint aNow);

  /** By fingerprint, ordered by the time of the end. */
  std::unordered_map<std::uint64_t, Entries> mEntries;
};

}  // namespace papayawheel
