#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/gateway_model.h"

namespace papayawheel::model {

/** A load pattern with a fault or an overload that is simulated with the
 * model. */
struct Scenario {
  std::string mName;
  /** What happens, in one line. */
  std::string mDescription;
  std::function<ModelSettings()> mSettings;
  /** Runs the pattern. The tally covers it without the warm-up. */
  std::function<void(GatewayModel&)> mRun;
};

/** All scenarios in the order in which they are printed. */
const std::vector<Scenario>& Scenarios();

/** @return the scenario with this name; null if there is none. */
const Scenario* FindScenario(const std::string& aName);

/** Runs a scenario.
 * @return the model, to read the results from. */
std::unique_ptr<GatewayModel> RunScenario(const Scenario& aScenario,
                                          std::uint32_t aSeed);

/** Names of the two routes in all scenarios. */
constexpr const char* kStockCheck = "stock-check";
constexpr const char* kOrderPlace = "order-place";

}  // namespace papayawheel::model
