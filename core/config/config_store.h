#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/audit/audit_trail.h"
#include "core/config/configuration.h"
#include "core/config/configuration_parser.h"

namespace papayawheel {

/** Result of ConfigStore::Offer(). */
enum class OfferResult {
  /** The snapshot is now in force. */
  Applied,
  /** Its revision is not higher than the one in force. */
  NotNewer,
  /** It is invalid; the configuration in force is unchanged. */
  Refused,
};

/** Holds the configuration in force on this host. Its revision never decreases
 * during the life of the process. */
class ConfigStore {
 public:
  ConfigStore(const Clock& aClock, AuditTrail& aAudit);

  /** Puts a snapshot in force if it is valid and newer than the current one,
   * and records the changes or the refusal in the audit trail.
   * @param aSource where the snapshot comes from, as named in the audit trail:
   * "platform" or "host \"a1\"". */
  OfferResult Offer(const Snapshot& aSnapshot, const std::string& aSource);

  /** The configuration in force; an empty one with revision 0 at first. */
  [[nodiscard]] std::shared_ptr<const Configuration> InForce() const {
    return mInForce;
  }

  /** The documents of the configuration in force, as sent to other hosts. */
  [[nodiscard]] const Snapshot& SnapshotInForce() const { return mSnapshot; }

  [[nodiscard]] std::uint64_t Revision() const { return mInForce->mRevision; }

  /** The time of day at which the current configuration came into force. */
  [[nodiscard]] std::chrono::system_clock::time_point InForceSince() const {
    return mInForceSince;
  }

  /** The revision that was refused last; 0 if none was. */
  [[nodiscard]] std::uint64_t RefusedRevision() const {
    return mRefusedRevision;
  }

  /** Why that revision was refused. */
  [[nodiscard]] const std::string& RefusedReason() const {
    return mRefusedReason;
  }

 private:
  void AuditContracts(const Configuration& aNext, const std::string& aSource);

  const Clock& mClock;
  AuditTrail& mAudit;
  std::shared_ptr<const Configuration> mInForce;
  Snapshot mSnapshot;
  std::chrono::system_clock::time_point mInForceSince;
  std::uint64_t mRefusedRevision = 0;
  std::string mRefusedReason;
};

}  // namespace papayawheel
