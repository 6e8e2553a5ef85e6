#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** The clocks of the system. Now() includes the time in which the machine is
 * suspended, so that a resumed host notices the suspension. */
class SystemClock : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] std::chrono::system_clock::time_point WallTime() const override;
};

}  // namespace papayawheel
