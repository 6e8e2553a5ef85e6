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
  // All received bytes are sent on, so each direction of the link carries both
  // the requests of callers and the answers of endpoints.
  HostLoad load;
  load.mRequests = perSecond(aTotals.mRequests, mLast.mRequests);
  load.mLinkBytes = perSecond(aTotals.mBytesIn, mLast.mBytesIn) +
                    perSecond(aTotals.mBytesOut, mLast.mBytesOut);
  mLast = aTotals;
  mLastAt = aNow;
  return load;
}

}  // namespace papayawheel
