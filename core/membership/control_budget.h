#pragma once

#include <cstddef>
#include <cstdint>

#include "core/base/clock.h"

namespace papayawheel {

/** Keeps the bytes that control sends and receives within a rate. Heartbeats
 * wait when it is used up; a new configuration never does. */
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

  /** Whether a message that can wait may be sent now. Half of what a second
   * brings is left for answering what others send.
   * @param aPending bytes of messages that were sent and not yet counted. */
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
