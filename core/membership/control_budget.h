#pragma once

#include <cstddef>
#include <cstdint>

#include "core/base/clock.h"

namespace papayawheel {

/** Token bucket that limits the bytes per second of control traffic, sent and
 * received. Heartbeats wait while it is used up; the transfer of a new
 * configuration is counted but never waits. */
class ControlBudget {
 public:
  ControlBudget(double aBytesPerSecond, TimePoint aNow)
      : mBytesPerSecond(aBytesPerSecond),
        mAvailable(aBytesPerSecond),
        mUpdated(aNow) {}

  /** Counts bytes that were sent or received. */
  void Spend(std::size_t aBytes, TimePoint aNow) {
    Refill(aNow);
    mAvailable -= static_cast<double>(aBytes);
    mTotalBytes += aBytes;
  }

  /** Whether a message that can wait may be sent now. Half of the bytes of a
   * second are reserved for answers to other hosts.
   * @param aPending bytes of messages that were sent but are not counted yet.
   */
  bool MaySend(std::size_t aPending, TimePoint aNow) {
    Refill(aNow);
    return mAvailable - static_cast<double>(aPending) > mBytesPerSecond / 2;
  }

  [[nodiscard]] std::uint64_t TotalBytes() const { return mTotalBytes; }

 private:
  void Refill(TimePoint aNow) {
    const std::chrono::duration<double> elapsed = aNow - mUpdated;
    if (elapsed.count() <= 0) {
      return;
    }
    mAvailable += elapsed.count() * mBytesPerSecond;
    if (mAvailable > mBytesPerSecond) {
      mAvailable = mBytesPerSecond;
    }
    mUpdated = aNow;
  }

  double mBytesPerSecond;
  double mAvailable;
  TimePoint mUpdated;
  std::uint64_t mTotalBytes = 0;
};

}  // namespace papayawheel
