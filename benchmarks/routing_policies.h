#pragma once

#include <memory>
#include <string>
#include <vector>

#include "benchmarks/routing_model.h"

namespace papayawheel {

/** A policy with the queue length of the endpoints that it is run with. */
struct NamedPolicy {
  std::string mName;
  std::function<std::unique_ptr<RoutingPolicy>(const RoutingScenario&)> mMake;
  std::size_t mEndpointQueue = SIZE_MAX;
};

/** Simple policies that the engine is compared with. The endpoints of those
 * with "full refuses" in their names have no queue: they refuse calls when all
 * slots are in use. */
std::vector<NamedPolicy> BaselinePolicies();

/** The CallEngine that the entry program runs, with the same code.
 * @param aEndpointQueue 0 for endpoints without a queue. */
NamedPolicy EnginePolicy(std::size_t aEndpointQueue);

}  // namespace papayawheel
