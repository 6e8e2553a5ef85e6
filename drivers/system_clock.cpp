#include "drivers/system_clock.h"

#include <ctime>

namespace papayawheel {

TimePoint SystemClock::Now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::system_clock::time_point SystemClock::WallTime() const {
  return std::chrono::system_clock::now();
}

}  // namespace papayawheel
