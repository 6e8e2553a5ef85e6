#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** What an audit entry is about. */
enum class AuditTopic {
  Contract,
  Configuration,
  Membership,
  Drain,
  Quarantine
};

/** The word of a topic in logs and answers. */
std::string_view AuditTopicName(AuditTopic aTopic);

/** One change, refused or taken. */
struct AuditEntry {
  std::uint64_t mSequence = 0;
  std::chrono::system_clock::time_point mTime;
  AuditTopic mTopic = AuditTopic::Configuration;
  std::uint64_t mRevision = 0;
  /** What changed, as in "contract of \"huts\"". */
  std::string mSubject;
  /** Why and how, as in "raised rate_per_second from 5 to 10". */
  std::string mCause;
};

/** Keeps the latest changes in a bounded buffer. Not safe for use by several
 * threads at once. */
class AuditTrail {
 public:
  AuditTrail(const Clock& aClock, std::size_t aCapacity)
      : mClock(aClock), mCapacity(aCapacity) {}

  void Record(AuditTopic aTopic, std::uint64_t aRevision, std::string aSubject,
              std::string aCause);

  /** Entries with a higher sequence number than the given one, oldest first. */
  [[nodiscard]] std::vector<AuditEntry> After(std::uint64_t aSequence) const;

 private:
  const Clock& mClock;
  std::size_t mCapacity;
  std::uint64_t mNextSequence = 1;
  std::deque<AuditEntry> mEntries;
};

}  // namespace papayawheel
