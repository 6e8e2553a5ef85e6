#include "core/routes/weighted_split.h"

#include <algorithm>
#include <set>

namespace papayawheel {

const std::string& WeightedSplit::Next(const Route& aRoute) {
  if (aRoute.mShares.size() == 1) {
    return aRoute.mShares.front().mService;
  }
  std::map<std::string, double>& credits = mCredits[aRoute.mName];
  double total = 0;
  const ServiceShare* best = nullptr;
  double bestCredit = 0;
  for (const ServiceShare& share : aRoute.mShares) {
    total += share.mWeight;
    const double credit = credits[share.mService] += share.mWeight;
    if (best == nullptr || credit > bestCredit) {
      best = &share;
      bestCredit = credit;
    }
  }
  credits[best->mService] -= total;
  return best->mService;
}

void WeightedSplit::Prune(const RoutingConfiguration& aConfiguration) {
  std::set<std::string> names;
  for (const Route& route : aConfiguration.mRoutes) {
    names.insert(route.mName);
  }
  std::erase_if(mCredits, [&names](const auto& aEntry) {
    return !names.contains(aEntry.first);
  });
}

}  // namespace papayawheel
