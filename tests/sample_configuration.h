#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/config/configuration.h"

namespace papayawheel {

inline std::string SampleHostName(std::size_t aIndex) {
  return "h" + std::to_string(aIndex);
}

/** Returns a configuration with hosts h0, h1, ... and endpoints e0, e1, ...,
 * each spread over three data centres, one service "orders" and one contract.
 */
inline Configuration SampleConfiguration(std::size_t aHosts,
                                         std::size_t aEndpoints,
                                         const Contract& aContract,
                                         std::uint64_t aRevision = 1) {
  Configuration configuration;
  configuration.mRevision = aRevision;
  for (std::size_t index = 0; index < aHosts; ++index) {
    const std::string name = SampleHostName(index);
    configuration.mHosts[name] =
        Host{name, "10.0.0.1:" + std::to_string(1000 + index),
             "dc" + std::to_string(index % 3), NodeState::Live};
  }
  Service service;
  service.mName = "orders";
  service.mSlotsPerEndpoint = 4;
  service.mLongestDeadline = std::chrono::milliseconds(1000);
  for (std::size_t index = 0; index < aEndpoints; ++index) {
    const std::string name = "e" + std::to_string(index);
    service.mEndpoints.push_back(
        Endpoint{name, "10.0.1.1:" + std::to_string(2000 + index),
                 "dc" + std::to_string(index % 3), NodeState::Live});
  }
  configuration.mServices["orders"] = service;
  configuration.mContracts[aContract.mCustomer] = aContract;
  return configuration;
}

/** Returns a contract of the customer "roofers" for the service "orders". */
inline Contract SampleContract(double aRate = 100, std::uint32_t aBurst = 20,
                               std::uint32_t aConcurrency = 10) {
  return Contract{"roofers", aRate, aBurst, aConcurrency, 2, {"orders"}};
}

/** Copies a configuration to the heap, as the engines take it. */
inline std::shared_ptr<const Configuration> MakeSharedConfiguration(
    const Configuration& aConfiguration) {
  return std::make_shared<const Configuration>(aConfiguration);
}

}  // namespace papayawheel
