#include "core/endpoints/warm_up_share.h"

#include <algorithm>
#include <cmath>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

constexpr double kPlannedPart = 0.5;

/** Larger values have no effect, since no service has as many requests. */
constexpr double kMaxPlanned = 1e6;

}  // namespace

std::uint32_t PlannedWarmUpRequests(double aPerSecond,
                                    const WarmUpTerms& aTerms) {
  const double bound = aPerSecond * aTerms.mOver + aTerms.mSlack;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(bound * kPlannedPart), 0.0, kMaxPlanned));
}

std::uint32_t ShareOfWarmUp(const std::string& aEndpoint,
                            std::uint32_t aPlanned, const std::string& aSelf,
                            const std::vector<std::string>& aHosts) {
  const auto hosts = static_cast<std::uint32_t>(aHosts.size());
  const std::uint32_t holders =
      std::min(aPlanned, std::max<std::uint32_t>(1, hosts));
  const std::size_t rank = RendezvousRank(aEndpoint, aSelf, aHosts);
  if (rank >= holders) {
    return 0;
  }
  return aPlanned / holders + (rank < aPlanned % holders ? 1 : 0);
}

}  // namespace papayawheel
