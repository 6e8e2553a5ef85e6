#include "core/gossip/load_meter.h"

#include <algorithm>
#include <chrono>

namespace papayawheel {
namespace {

constexpr std::chrono::milliseconds kMinMeasurementPeriod{500};

}  // namespace

std::optional<HostLoad> LoadMeter::Measure(const Totals& aTotals,
                                           TimePoint aNow) {
  if (aNow - mLastAt < kMinMeasurementPeriod) {
    return std::nullopt;
  }
  const double seconds = std::chrono::duration<double>(aNow - mLastAt).count();
  const auto perSecond = [seconds](std::uint64_t aNew, std::uint64_t aOld) {
    return static_cast<double>(aNew - aOld) / seconds;
  };
  // Whatever comes in on one side goes out on the other, so each way carries
  // what callers send and what endpoints answer.
  HostLoad use;
  use.mRequests = perSecond(aTotals.mRequests, mLast.mRequests);
  use.mLinkBytes = perSecond(aTotals.mBytesIn, mLast.mBytesIn) +
                   perSecond(aTotals.mBytesOut, mLast.mBytesOut);
  mLast = aTotals;
  mLastAt = aNow;
  return use;
}

}  // namespace papayawheel
