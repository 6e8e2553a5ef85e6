#pragma once

#include <map>
#include <string>

#include "core/routes/route.h"

namespace papayawheel {

/** Distributes the requests of each route over its services by smooth weighted
 * round-robin: every service gets its share within any short sequence of
 * requests. Requests that are refused afterwards count as well. */
class WeightedSplit {
 public:
  /** Returns the service for the next request of a route. */
  const std::string& Next(const Route& aRoute);

  /** Removes the state of routes that are not in a configuration. */
  void Prune(const RoutingConfiguration& aConfiguration);

 private:
  /** Credit of each service, by route and service name. It grows with the
   * weight and falls when the service is selected. */
  std::map<std::string, std::map<std::string, double>> mCredits;
};

}  // namespace papayawheel
