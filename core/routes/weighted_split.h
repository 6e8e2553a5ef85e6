#pragma once

#include <map>
#include <string>

#include "core/routes/route.h"

namespace papayawheel {

/** Deals the requests of each route over its services in proportion to their
 * weights. Every service gets its share within any short run of requests,
 * whichever of them are refused afterwards. */
class WeightedSplit {
 public:
  /** The service for the next request of a route. */
  const std::string& Next(const Route& aRoute);

  /** Forgets routes that are not in a configuration. */
  void Prune(const RoutingConfiguration& aConfiguration);

 private:
  /** What each service is owed, by route and service. */
  std::map<std::string, std::map<std::string, double>> mCredits;
};

}  // namespace papayawheel
