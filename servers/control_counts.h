#pragma once

#include <cstdint>
#include <string>

namespace papayawheel {

/** Counters of a gateway's control thread since the start. */
struct ControlCounts {
  std::uint64_t mDatagramsSent = 0;
  std::uint64_t mDatagramsReceived = 0;
  /** Datagrams that were dropped as too many waited to be handled. */
  std::uint64_t mDatagramsDropped = 0;
  /** Reads and watches of the store. */
  std::uint64_t mStoreCalls = 0;
  /** Requests for changes to other hosts. */
  std::uint64_t mPulls = 0;
  /** Requests for changes from other hosts, by how they were answered. */
  std::uint64_t mDeltasServed = 0;
  std::uint64_t mCopiesServed = 0;
  std::uint64_t mPullsRefused = 0;
  /** Iterations of the event loop that ran too late. */
  std::uint64_t mLateIterations = 0;
};

/** Renders the counters in the Prometheus text format. */
std::string RenderControlCounts(const ControlCounts& aCounts);

}  // namespace papayawheel
