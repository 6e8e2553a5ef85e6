#pragma once

#include <cstdint>
#include <map>

#include "core/base/error_kind.h"

namespace papayawheel {

/** Counters since the process started. */
struct GatewayCounts {
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  /** Load probes and health checks. */
  std::uint64_t mProbes = 0;
  /** Requests sent to endpoints that count as cold and have a limit. */
  std::uint64_t mColdRequests = 0;
  std::map<ErrorKind, std::uint64_t> mErrors;
};

}  // namespace papayawheel
