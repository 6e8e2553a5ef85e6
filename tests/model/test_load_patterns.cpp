#include <doctest/doctest.h>

#include <vector>

#include "model/scenarios.h"

namespace papayawheel::model {
namespace {

/** Minimum percentage of requests of each route that are answered within their
 * target latency in a scenario, over kSeeds seeds. */
struct Bound {
  const char* mScenario;
  double mStockCheck;
  double mOrderPlace;
};

constexpr std::uint32_t kSeeds = 3;

TEST_CASE("load patterns: service within the target latency") {
  const std::vector<Bound> bounds = {
      {"noisy neighbour", 99, 98},    {"flash crowd", 85, 88},
      {"slow endpoints", 90, 80},     {"failing endpoints", 98, 93},
      {"shedding endpoints", 55, 55}, {"silent endpoints", 95, 95},
      {"flapping", 98, 97},
  };
  for (const Bound& bound : bounds) {
    CAPTURE(bound.mScenario);
    const Scenario* const scenario = FindScenario(bound.mScenario);
    REQUIRE(scenario != nullptr);
    std::map<std::string, ModelTally> sums;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const auto model = RunScenario(*scenario, seed);
      for (const auto& [name, tally] : model->Tally()) {
        sums[name].mRequests += tally.mRequests;
        sums[name].mInTarget += tally.mInTarget;
      }
    }
    CHECK(100 * sums[kStockCheck].InTargetShare() >= bound.mStockCheck);
    CHECK(100 * sums[kOrderPlace].InTargetShare() >= bound.mOrderPlace);
  }
}

TEST_CASE("load patterns: retries stay within the retry budget of the fleet") {
  for (const char* const name :
       {"slow endpoints", "failing endpoints", "shedding endpoints"}) {
    CAPTURE(name);
    const auto model = RunScenario(*FindScenario(name), 1);
    std::uint64_t requests = 0;
    for (const auto& [route, tally] : model->Tally()) {
      requests += tally.mRequests;
    }
    // The budget is a fifth of the requests, of which a caller sends two at
    // most because it retries once, and a slack of 75 in each window of 10 s;
    // a scenario runs for two windows.
    CHECK(static_cast<double>(model->Retries()) <=
          0.2 * 2 * static_cast<double>(requests) + 2 * 75);
  }
}

TEST_CASE("load patterns: the same seed gives the same results") {
  const Scenario& scenario = *FindScenario("flash crowd");
  const auto first = RunScenario(scenario, 5);
  const auto second = RunScenario(scenario, 5);
  CHECK(first->Tally().at(kStockCheck).mInTarget ==
        second->Tally().at(kStockCheck).mInTarget);
  CHECK(first->Probes() == second->Probes());
}

}  // namespace
}  // namespace papayawheel::model
