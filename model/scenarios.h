#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/gateway_model.h"

namespace papayawheel::model {

/** A load pattern of the users' systems, played on the model. */
struct Scenario {
  std::string mName;
  /** One line: what happens. */
  std::string mDescription;
  std::function<ModelSettings()> mSettings;
  /** Plays the pattern; the tally covers what matters of it. */
  std::function<void(GatewayModel&)> mRun;
};

/** All patterns, in the order in which they are printed. */
const std::vector<Scenario>& Scenarios();

/** The pattern with a name; null if there is none. */
const Scenario* FindScenario(const std::string& aName);

/** Plays a pattern and gives the model back for its figures. */
std::unique_ptr<GatewayModel> RunScenario(const Scenario& aScenario,
                                          std::uint32_t aSeed);

/** Route names of the shingle network's order service. */
constexpr const char* kStockCheck = "stock-check";
constexpr const char* kOrderPlace = "order-place";

}  // namespace papayawheel::model
