#pragma once

#include <cstdint>
#include <optional>

#include "core/base/clock.h"
#include "core/gossip/host_load.h"

namespace papayawheel {

/** Computes the load per second from counters that only grow. */
class LoadMeter {
 public:
  /** Counters since the process started. */
  struct Totals {
    std::uint64_t mRequests = 0;
    /** Bytes received from endpoints, which are forwarded to callers. */
    std::uint64_t mBytesIn = 0;
    /** Bytes sent to endpoints, which came from callers. */
    std::uint64_t mBytesOut = 0;
  };

  /** @return the average load since the last measurement; nothing if that was
   * less than half a second ago. */
  std::optional<HostLoad> Measure(const Totals& aTotals, TimePoint aNow);

 private:
  Totals mLast;
  TimePoint mLastAt;
};

}  // namespace papayawheel
