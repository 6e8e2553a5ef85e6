#include "core/endpoints/limit_share.h"

#include <algorithm>
#include <cmath>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** Parts of a limit that its main users and all other hosts may use. */
constexpr double kMainPart = 0.6;
constexpr double kOthersPart = 0.2;

/** Minimum rate of a main user, in requests per second. More hosts share the
 * limit only if each gets as much. */
constexpr double kMinMainRate = 1;

/** The hosts that may be main users: those in the endpoint's data centre, since
 * others prefer nearer endpoints; all hosts if there are none. */
std::vector<std::string> Candidates(const std::string& aDataCentre,
                                    const std::vector<CallerHost>& aHosts) {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const CallerHost& host : aHosts) {
    all.push_back(host.mAddress);
    if (host.mDataCentre == aDataCentre) {
      near.push_back(host.mAddress);
    }
  }
  return near.empty() ? all : near;
}

}  // namespace

double ShareOfLimit(const std::string& aEndpoint,
                    const std::string& aDataCentre, double aLimit,
                    const std::string& aSelf,
                    const std::vector<CallerHost>& aHosts) {
  std::vector<std::string> ranked =
      RankByRendezvous(aEndpoint, Candidates(aDataCentre, aHosts));
  if (ranked.empty()) {
    ranked.push_back(aSelf);
  }
  const double wanted = std::floor(aLimit * kMainPart / kMinMainRate);
  const auto users = static_cast<std::size_t>(
      std::clamp(wanted, 1.0, static_cast<double>(ranked.size())));
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(users);
  if (std::find(ranked.begin(), end, aSelf) != end) {
    return aLimit * kMainPart / static_cast<double>(users);
  }
  const std::size_t others =
      std::max<std::size_t>(1, std::max(aHosts.size(), users) - users);
  return aLimit * kOthersPart / static_cast<double>(others);
}

}  // namespace papayawheel
