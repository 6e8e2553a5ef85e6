#pragma once

namespace papayawheel {

/** What a host can carry; zero where it is not known. */
struct HostCapacity {
  /** Processor, in cores. */
  double mCores = 0;
  /** Its link, in bytes a second each way. */
  double mLinkBytes = 0;
};

/** What callers make a host carry, as it measures it. */
struct HostLoad {
  /** Requests of callers in a second. */
  double mRequests = 0;
  /** Bytes in a second over its link, the busier way. */
  double mLinkBytes = 0;
};

}  // namespace papayawheel
