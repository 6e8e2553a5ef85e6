// Compares policies that choose an endpoint, in simulations on virtual time
// with fixed seeds. Scenario titles begin with the name of the fleet whose size
// they use, "shingle" or "hire".
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "benchmarks/routing_policies.h"

namespace {

using namespace papayawheel;

void PrintRow(const std::string& aName, RoutingResult aResult) {
  const double refused =
      100.0 * static_cast<double>(aResult.mRefused) /
      static_cast<double>(std::max<std::uint64_t>(1, aResult.mArrived));
  const double shed =
      static_cast<double>(aResult.mShed) /
      static_cast<double>(std::max<std::uint64_t>(1, aResult.mArrived));
  fmt::print(
      "| {:30} | {:7.1f} | {:7.1f} | {:8.1f} | {:8.1f} | {:7.2f} | {:6.2f} |",
      aName, aResult.mShort.Quantile(0.5), aResult.mShort.Quantile(0.99),
      aResult.mShort.Quantile(0.999), aResult.mLong.Quantile(0.99), refused,
      shed);
  if (!aResult.mPriority.mAll.empty()) {
    fmt::print(" {:8.1f} | {:8.1f} |", aResult.mPriority.Quantile(0.5),
               aResult.mPriority.Quantile(0.99));
  }
  if (aResult.mPeakUtilization > 0) {
    fmt::print(" {:6.2f} | {:7.0f} |", aResult.mPeakUtilization,
               std::chrono::duration<double, std::milli>(aResult.mRecoveryTime)
                   .count());
  }
  fmt::print("\n");
}

void PrintHeader(const RoutingScenario& aScenario) {
  fmt::print("| {:30} | {:7} | {:7} | {:8} | {:8} | {:7} | {:6} |{}{}\n", "way",
             "p50 ms", "p99 ms", "p99.9 ms", "long p99", "refus %", "shed/c",
             aScenario.mPriorityShare > 0 ? " prio p50 | prio p99 |" : "",
             aScenario.mPeakFactor != 1 ? "  crest | calm ms |" : "");
}

void RunAll(const std::string& aTitle, RoutingScenario aScenario,
            bool aOnlyEngine) {
  fmt::print("\n{}\n\n", aTitle);
  PrintHeader(aScenario);
  PrintRow("ideal single queue", RoutingModel::RunIdeal(aScenario));
  std::vector<NamedPolicy> policies;
  if (!aOnlyEngine) {
    policies = BaselinePolicies();
  }
  policies.push_back(EnginePolicy(SIZE_MAX));
  policies.push_back(EnginePolicy(0));
  for (const NamedPolicy& policy : policies) {
    aScenario.mEndpointQueue = policy.mEndpointQueue;
    const auto made = policy.mMake(aScenario);
    PrintRow(policy.mName, RoutingModel(aScenario, *made).Run());
  }
}

}  // namespace

int main(int aCount, char** aArguments) {
  namespace options = boost::program_options;
  options::options_description description("Settings");
  std::string only;
  bool engineOnly = false;
  std::uint32_t seed = 1;
  double probes = RoutingScenario{}.mProbesPerSecond;
  description.add_options()("help", "print this text")(
      "only", options::value(&only),
      "run only the scenarios with this text in their titles")(
      "engine-only", options::bool_switch(&engineOnly),
      "run only the engine, without the baseline policies")(
      "seed", options::value(&seed), "seed of the arrivals")(
      "probes", options::value(&probes),
      "load probes per second to each endpoint, by all hosts together");
  options::variables_map flags;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   flags);
    options::notify(flags);
  } catch (const options::error& error) {
    fmt::print(stderr, "routing_bench: {}\n", error.what());
    return 2;
  }
  if (flags.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  RoutingScenario shingle;
  shingle.mSeed = seed;
  shingle.mProbesPerSecond = probes;
  RoutingScenario hire = shingle;
  hire.mEndpoints = 20;
  hire.mSlots = 6;
  hire.mHosts = 18;
  hire.mPriorityShare = 0.05;
  std::vector<std::pair<std::string, RoutingScenario>> scenarios;
  for (const double load : {0.5, 0.8, 0.95}) {
    RoutingScenario variant = shingle;
    variant.mLoad = load;
    scenarios.emplace_back(
        fmt::format("shingle steady load {:.0f}%", load * 100), variant);
  }
  RoutingScenario variant = shingle;
  variant.mLongShare = 0;
  scenarios.emplace_back("shingle no long work load 80%", variant);
  variant = shingle;
  variant.mSlowdown = 10;
  variant.mLoad = 0.7;
  scenarios.emplace_back("shingle one endpoint 10 times slower load 70%",
                         variant);
  variant = shingle;
  variant.mFailFast = true;
  variant.mLoad = 0.7;
  scenarios.emplace_back("shingle one endpoint fails fast load 70%", variant);
  variant = shingle;
  variant.mReportedLoadFactor = 0.1;
  scenarios.emplace_back("shingle reports a tenth of the load, load 80%",
                         variant);
  variant = hire;
  variant.mLoad = 0.5;
  variant.mPeakFactor = 5;
  scenarios.emplace_back("hire swing 5 times for 2 s from load 50%", variant);
  variant = hire;
  scenarios.emplace_back("hire steady load 80%", variant);
  variant = hire;
  variant.mLongShare = 0;
  variant.mPriorityShare = 0.002;
  for (const double load : {0.1, 0.8, 1.5}) {
    variant.mLoad = load;
    scenarios.emplace_back(
        fmt::format("hire rare priority calls, load {:.0f}%", load * 100),
        variant);
  }
  for (const auto& [title, scenario] : scenarios) {
    if (only.empty() || title.find(only) != std::string::npos) {
      RunAll(title, scenario, engineOnly);
    }
  }
  return 0;
}
