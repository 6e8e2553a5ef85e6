#pragma once

#include <chrono>

namespace papayawheel {

/** A time of the host's steady clock, which never goes back. It must also keep
 * running while the process or the machine is suspended. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Durations are stored in microseconds. */
using Duration = std::chrono::microseconds;

/** Source of time. Modules that need the time take a reference to one, so that
 * tests can control it. */
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /** The steady time; used for leases, deadlines and rates. */
  [[nodiscard]] virtual TimePoint Now() const = 0;

  /** The time of day; used for logs and the audit trail only. */
  [[nodiscard]] virtual std::chrono::system_clock::time_point WallTime()
      const = 0;
};

}  // namespace papayawheel
