#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** The machine's clocks. The steady one counts suspended time as well, so a
 * host that was suspended notices. */
class SystemClock : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] std::chrono::system_clock::time_point WallTime() const override;
};

}  // namespace papayawheel
