#pragma once

#include <cstdint>
#include <string>

#include "core/base/clock.h"

namespace papayawheel {

/** One host's observation of a request that may crash endpoints: a crash, or an
 * answer that refutes it. Sent to all hosts. Times are sent as ages, since the
 * clocks of hosts are not synchronized. */
struct CrashRecord {
  /** Unique over all hosts. */
  std::uint64_t mId = 0;
  /** Identifies the process of the host that made the record. */
  std::uint64_t mOrigin = 0;
  /** When the attempt ended, by the clock of the origin. Gives the order of the
   * records of one origin. */
  Duration mOriginTime{0};
  /** Hash of method, host, target, caller and body. */
  std::uint64_t mFingerprint = 0;
  /** The endpoint that crashed; empty if the request was answered. */
  std::string mEndpoint;
  /** Time since the connection broke or the answer arrived. */
  Duration mEndedAgo{0};
  /** Time from sending the request until then. */
  Duration mAttemptDuration{0};

  /** The request was answered, so it does not crash endpoints. */
  [[nodiscard]] bool IsRefutation() const { return mEndpoint.empty(); }

  bool operator==(const CrashRecord&) const = default;
};

}  // namespace papayawheel
