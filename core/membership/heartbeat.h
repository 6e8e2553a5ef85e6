#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/limits/share_ledger.h"
#include "core/routing/quarantine_tracker.h"

namespace papayawheel {

/** What a host says of itself. It is sent as a request and answered with the
 * same, so one exchange informs both sides. */
struct Heartbeat {
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  /** Time since the process started. */
  std::chrono::milliseconds mUptime{0};
  /** Revision of the configuration in force. */
  std::uint64_t mRevision = 0;
  /** What its share ledger reports. */
  LedgerReport mLedger;
  /** Whether the host serves calls. */
  bool mReady = false;
  /** Whether the host is about to stop. */
  bool mDraining = false;
  /** Calls in flight. */
  std::uint32_t mInFlight = 0;
  /** Requests that crash endpoints and must not be sent. */
  std::vector<Quarantine> mQuarantines;

  bool operator==(const Heartbeat&) const = default;
};

std::string WriteHeartbeat(const Heartbeat& aHeartbeat);

/** Nothing when the text is malformed. */
std::optional<Heartbeat> ReadHeartbeat(const std::string& aText);

}  // namespace papayawheel
