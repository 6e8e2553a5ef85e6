#pragma once

#include <cstddef>

#include "core/limits/byte_account.h"

namespace papayawheel {

/** What is known of a machine and its settings; 0 means unknown. */
struct MachineLimits {
  /** Bound of the bytes held for callers, without the reserve. */
  std::size_t mCallersBytes = 0;
  std::size_t mMemoryBytes = 0;
  std::size_t mDescriptors = 0;
};

/** Limits on what a gateway holds for those who connect to it. */
struct CallerLimits {
  /** For the addresses of the traffic thread. */
  ByteBounds mTraffic;
  /** For the address of the control thread. */
  ByteBounds mControl;
  /** Maximum numbers of connections by address; 0 for no limit. */
  std::size_t mFrontConnections = 0;
  std::size_t mReadyConnections = 0;
  std::size_t mDirectoryConnections = 0;
  std::size_t mControlConnections = 0;
};

/** Maximum size of one request body at the address for callers. */
constexpr std::size_t kMaxCallerBody = 64U << 20U;

/** Derives the limits from those of the machine. */
CallerLimits DeriveCallerLimits(const MachineLimits& aMachine);

}  // namespace papayawheel
