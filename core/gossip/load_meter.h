#pragma once

#include <cstdint>
#include <optional>

#include "core/base/clock.h"
#include "core/gossip/host_load.h"

namespace papayawheel {

/** Turns counts that only grow into what a host carries in a second. */
class LoadMeter {
 public:
  /** Counts since the process started. */
  struct Totals {
    std::uint64_t mRequests = 0;
    /** Bytes that endpoints sent, which are passed on to callers. */
    std::uint64_t mBytesIn = 0;
    /** Bytes that endpoints were sent, which came from callers. */
    std::uint64_t mBytesOut = 0;
  };

  /** @return the use since the last measurement; nothing if that is too short
   * a time ago. */
  std::optional<HostLoad> Measure(const Totals& aTotals, TimePoint aNow);

 private:
  Totals mLast;
  TimePoint mLastAt;
};

}  // namespace papayawheel
