#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/limits/share_ledger.h"
#include "core/routing/quarantine_tracker.h"

namespace papayawheel {

/** State of a host, as it reports it to others. A heartbeat is sent as a
 * request and answered with the receiver's, so one exchange informs both sides.
 */
struct Heartbeat {
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  /** Time since the process started. */
  std::chrono::milliseconds mUptime{0};
  /** Revision of the configuration in force. */
  std::uint64_t mRevision = 0;
  /** Report of the host's share ledger. */
  LedgerReport mLedger;
  /** Whether the host serves calls. */
  bool mReady = false;
  /** Whether the host is draining and will stop. */
  bool mDraining = false;
  /** Calls in flight. */
  std::uint32_t mInFlight = 0;
  /** Requests that crash endpoints and must not be sent to any. */
  std::vector<Quarantine> mQuarantines;

  bool operator==(const Heartbeat&) const = default;
};

/** Writes a heartbeat as JSON. */
std::string WriteHeartbeat(const Heartbeat& aHeartbeat);

/** Reads a heartbeat from JSON; nothing if the text is malformed. */
std::optional<Heartbeat> ReadHeartbeat(const std::string& aText);

}  // namespace papayawheel
