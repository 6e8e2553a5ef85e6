#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** A clock that changes only when a test advances it. */
class FakeClock : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override { return mNow; }

  [[nodiscard]] std::chrono::system_clock::time_point WallTime()
      const override {
    return std::chrono::system_clock::time_point(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            mNow.time_since_epoch()));
  }

  void Advance(Duration aBy) { mNow += aBy; }

 private:
  TimePoint mNow{std::chrono::hours(1)};
};

}  // namespace papayawheel
