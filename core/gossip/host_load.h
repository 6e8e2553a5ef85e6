#pragma once

#include <cmath>

namespace papayawheel {

/** Resources that a host has for serving callers; zero where not known. */
struct HostCapacity {
  /** Processor cores; may be a fraction. */
  double mCores = 0;
  /** Network link, in bytes per second in each direction. */
  double mLinkBytes = 0;

  bool operator==(const HostCapacity&) const = default;
};

/** Class of a host by its processor; each class has twice that of the one
 * below. Hosts that tell no capacity are in the lowest one. */
inline int ProcessorClass(const HostCapacity& aCapacity) {
  constexpr int kLowest = -100;
  return aCapacity.mCores > 0
             ? static_cast<int>(std::floor(std::log2(aCapacity.mCores)))
             : kLowest;
}

/** Load on a host from its callers, as reported by the host itself. */
struct HostLoad {
  /** Caller requests per second. */
  double mRequests = 0;
  /** Bytes per second over its link, in the busier direction. */
  double mLinkBytes = 0;

  bool operator==(const HostLoad&) const = default;
};

}  // namespace papayawheel
