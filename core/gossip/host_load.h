#pragma once

namespace papayawheel {

/** Resources that a host has for serving callers; zero where not known. */
struct HostCapacity {
  /** Processor cores; may be a fraction. */
  double mCores = 0;
  /** Network link, in bytes per second in each direction. */
  double mLinkBytes = 0;

  bool operator==(const HostCapacity&) const = default;
};

/** Load on a host from its callers, as reported by the host itself. */
struct HostLoad {
  /** Caller requests per second. */
  double mRequests = 0;
  /** Bytes per second over its link, in the busier direction. */
  double mLinkBytes = 0;

  bool operator==(const HostLoad&) const = default;
};

}  // namespace papayawheel
