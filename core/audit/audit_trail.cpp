#include "core/audit/audit_trail.h"

#include <utility>

namespace papayawheel {

std::string_view AuditTopicName(AuditTopic aTopic) {
  switch (aTopic) {
    case AuditTopic::Contract:
      return "contract";
    case AuditTopic::Configuration:
      return "configuration";
    case AuditTopic::Membership:
      return "membership";
    case AuditTopic::Drain:
      return "drain";
    case AuditTopic::Quarantine:
      return "quarantine";
  }
  return "configuration";
}

void AuditTrail::Record(AuditTopic aTopic, std::uint64_t aRevision,
                        std::string aSubject, std::string aCause) {
  mEntries.push_back(AuditEntry{mNextSequence++, mClock.WallTime(), aTopic,
                                aRevision, std::move(aSubject),
                                std::move(aCause)});
  if (mEntries.size() > mCapacity) {
    mEntries.pop_front();
  }
}

std::vector<AuditEntry> AuditTrail::After(std::uint64_t aSequence) const {
  std::vector<AuditEntry> entries;
  for (const AuditEntry& entry : mEntries) {
    if (entry.mSequence > aSequence) {
      entries.push_back(entry);
    }
  }
  return entries;
}

}  // namespace papayawheel
