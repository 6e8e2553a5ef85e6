#pragma once

#include <cstdint>

namespace papayawheel {

/** What an endpoint said of its load on an answer. Stale when it arrives. */
struct LoadSample {
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  std::uint32_t mSlots = 0;
  /** How long work takes on its machine now, as a multiple of the usual. */
  double mServiceTimeFactor = 1;
};

}  // namespace papayawheel
