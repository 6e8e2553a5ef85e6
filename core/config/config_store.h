#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/audit/audit_trail.h"
#include "core/config/configuration.h"
#include "core/config/configuration_parser.h"

namespace papayawheel {

/** What became of an offered snapshot. */
enum class OfferResult {
  /** It is in force now. */
  Taken,
  /** Its revision is not above the one in force. */
  NotNewer,
  /** It failed validation; the configuration in force stays. */
  Refused,
};

/** Holds the configuration in force on this host. Its revision strictly
 * rises for the life of the process. */
class ConfigStore {
 public:
  ConfigStore(const Clock& aClock, AuditTrail& aAudit);

  /** Puts a snapshot in force if it is valid and newer. The source is named
   * in the audit trail, as in "platform" or "host \"a1\"". */
  OfferResult Offer(const Snapshot& aSnapshot, const std::string& aSource);

  /** The configuration in force; revision 0 before the first one. */
  [[nodiscard]] std::shared_ptr<const Configuration> InForce() const {
    return mInForce;
  }

  /** The documents of the configuration in force, to pass on to other hosts. */
  [[nodiscard]] const Snapshot& SnapshotInForce() const { return mSnapshot; }

  [[nodiscard]] std::uint64_t Revision() const { return mInForce->mRevision; }

  /** The time of day at which the configuration in force was taken. */
  [[nodiscard]] std::chrono::system_clock::time_point InForceSince() const {
    return mInForceSince;
  }

  /** The highest revision that was refused, 0 if none. */
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
