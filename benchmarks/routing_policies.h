#pragma once

#include <memory>
#include <string>
#include <vector>

#include "benchmarks/routing_model.h"

namespace papayawheel {

/** A way to decide and the endpoints' queue that goes with it. */
struct NamedPolicy {
  std::string mName;
  std::function<std::unique_ptr<RoutingPolicy>(const RoutingScenario&)> mMake;
  std::size_t mEndpointQueue = SIZE_MAX;
};

/** The simple ways that the project's own is compared with. */
std::vector<NamedPolicy> BaselinePolicies();

/** The project's own decisions: the very engine that the entry program runs.
 */
NamedPolicy EnginePolicy(std::size_t aEndpointQueue);

}  // namespace papayawheel
