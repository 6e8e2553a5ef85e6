#pragma once

#include <cstdint>

namespace papayawheel {

/** What an endpoint says of its load. It rides on answers and is stale when
 * it arrives; it may also be wrong. */
struct LoadReport {
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  bool mDraining = false;
};

}  // namespace papayawheel
