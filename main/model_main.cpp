#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "drivers/program_settings.h"
#include "model/scenarios.h"

namespace {

using namespace papayawheel;
using namespace papayawheel::model;

constexpr std::int64_t kMaxSeeds = 1000;
constexpr double kPercent = 100;

/** Runs a scenario once for each seed and sums up the results. */
nlohmann::json RunSeeds(const Scenario& aScenario, std::int64_t aFirstSeed,
                        std::int64_t aSeeds) {
  std::map<std::string, ModelTally> sums;
  std::uint64_t arrivals = 0;
  std::uint64_t retries = 0;
  std::uint64_t probes = 0;
  for (std::int64_t seed = aFirstSeed; seed < aFirstSeed + aSeeds; ++seed) {
    const auto run = RunScenario(aScenario, static_cast<std::uint32_t>(seed));
    for (const auto& [name, tally] : run->Tally()) {
      ModelTally& sum = sums[name];
      sum.mRequests += tally.mRequests;
      sum.mInTarget += tally.mInTarget;
      sum.mLate += tally.mLate;
      sum.mRefused += tally.mRefused;
      sum.mFailed += tally.mFailed;
    }
    arrivals += run->Arrivals();
    retries += run->Retries();
    probes += run->Probes();
  }
  nlohmann::json classes = nlohmann::json::object();
  for (const auto& [name, sum] : sums) {
    classes[name] = {{"asked", sum.mRequests},
                     {"in_target", sum.mInTarget},
                     {"late", sum.mLate},
                     {"refused", sum.mRefused},
                     {"failed", sum.mFailed}};
  }
  return {{"scenario", aScenario.mName},
          {"classes", classes},
          {"arrivals", arrivals},
          {"retries", retries},
          {"probes", probes}};
}

void PrintTable(const nlohmann::json& aResults) {
  const auto percent = [](const nlohmann::json& aClass, const char* aField) {
    return kPercent * aClass.at(aField).get<double>() /
           aClass.at("asked").get<double>();
  };
  for (const auto& [name, results] : aResults.at("classes").items()) {
    fmt::print("{:<18} {:<12} {:>7} {:>9.1f} {:>6.1f} {:>8.1f} {:>7.1f}\n",
               aResults.at("scenario").get<std::string>(), name,
               results.at("asked").get<std::uint64_t>(),
               percent(results, "in_target"), percent(results, "late"),
               percent(results, "refused"), percent(results, "failed"));
  }
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-model",
                           "simulates load patterns on a model of the users' "
                           "systems, with the real engine and virtual time");
  settings.Add("scenario", "all", "name of a load pattern, or \"all\"",
               [](const std::string& aValue) -> std::optional<std::string> {
                 if (aValue == "all" || FindScenario(aValue) != nullptr) {
                   return std::nullopt;
                 }
                 return "is not the name of a load pattern";
               });
  settings.AddNumber("seed", 1, 0, kMaxSeeds, "first seed");
  settings.AddNumber("seeds", 5, 1, kMaxSeeds, "number of seeds to simulate");
  settings.Add("json", "no", "\"yes\" prints one line of JSON per pattern",
               [](const std::string& aValue) -> std::optional<std::string> {
                 if (aValue == "yes" || aValue == "no") {
                   return std::nullopt;
                 }
                 return "must be \"yes\" or \"no\"";
               });
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  const bool json = settings.Text("json") == "yes";
  if (!json) {
    fmt::print("{:<18} {:<12} {:>7} {:>9} {:>6} {:>8} {:>7}\n", "pattern",
               "route", "asked", "in target", "late", "refused", "failed");
  }
  for (const Scenario& scenario : Scenarios()) {
    const std::string wanted = settings.Text("scenario");
    if (wanted != "all" && wanted != scenario.mName) {
      continue;
    }
    const auto results =
        RunSeeds(scenario, settings.Number("seed"), settings.Number("seeds"));
    if (json) {
      fmt::print("{}\n", results.dump());
    } else {
      PrintTable(results);
    }
  }
  return kExitOk;
}
