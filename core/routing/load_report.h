#pragma once

#include <cstdint>

namespace papayawheel {

/** Load of an endpoint as it reported it with an answer. It is already out of
 * date when it arrives, and may be wrong. */
struct LoadReport {
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  bool mDraining = false;
};

}  // namespace papayawheel
