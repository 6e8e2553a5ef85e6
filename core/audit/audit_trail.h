#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** The kind of change that an audit entry describes. */
enum class AuditTopic {
  Contract,
  Configuration,
  Membership,
  Drain,
  Quarantine
};

/** Returns the name of a topic as used in logs and HTTP responses. */
std::string_view AuditTopicName(AuditTopic aTopic);

/** A change that was applied or refused. */
struct AuditEntry {
  std::uint64_t mSequence = 0;
  std::chrono::system_clock::time_point mTime;
  AuditTopic mTopic = AuditTopic::Configuration;
  std::uint64_t mRevision = 0;
  /** The object of the change, such as "contract of \"huts\"". */
  std::string mSubject;
  /** The source and the content of the change, such as
   * "removed from platform". */
  std::string mCause;
};

/** Records changes in a bounded buffer; the oldest entries are dropped. Not
 * thread-safe. */
class AuditTrail {
 public:
  /** @param aCapacity maximum number of entries that are kept. */
  AuditTrail(const Clock& aClock, std::size_t aCapacity)
      : mClock(aClock), mCapacity(aCapacity) {}

  void Record(AuditTopic aTopic, std::uint64_t aRevision, std::string aSubject,
              std::string aCause);

  /** Returns the entries whose sequence number is higher than aSequence, the
   * oldest first. */
  [[nodiscard]] std::vector<AuditEntry> After(std::uint64_t aSequence) const;

 private:
  const Clock& mClock;
  std::size_t mCapacity;
  std::uint64_t mNextSequence = 1;
  std::deque<AuditEntry> mEntries;
};

}  // namespace papayawheel
