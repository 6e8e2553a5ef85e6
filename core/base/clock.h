#pragma once

#include <chrono>

namespace papayawheel {

/** A point on a host's own steady clock. It never goes back and it keeps
 * running while the process or the machine is suspended. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Microseconds are the resolution of every duration that is stored. */
using Duration = std::chrono::microseconds;

/** Source of time. Every module that needs the time is handed one, so a test
 * decides what the time is. */
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /** The steady time, for leases, deadlines and rates. */
  [[nodiscard]] virtual TimePoint Now() const = 0;

  /** The time of day, for logs and the audit trail only. */
  [[nodiscard]] virtual std::chrono::system_clock::time_point WallTime()
      const = 0;
};

}  // namespace papayawheel
