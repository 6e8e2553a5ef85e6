#pragma once

#include <cstdint>

namespace papayawheel {

/** Load that an endpoint reported with an answer. It is already out of date
 * when it arrives. */
struct LoadSample {
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  std::uint32_t mSlots = 0;
  /** Current service time on the endpoint's machine as a multiple of the usual
   * one. */
  double mServiceTimeFactor = 1;
};

}  // namespace papayawheel
