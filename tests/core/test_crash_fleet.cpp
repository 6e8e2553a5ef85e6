#include <doctest/doctest.h>

#include <algorithm>

#include "tests/core/crash_fleet.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A request for kCrashingTarget arrives once a round at a random host, along
 * with other requests. */
struct CrashScenario {
  CrashFleetTerms mTerms;
  const char* mRouteHost = CrashFleet::kSafeHost;
  milliseconds mInterval{1000};
  std::size_t mRounds = 20;
  /** Other requests in each round. */
  std::size_t mOthers = 20;
  /** Fraction of the hosts that is isolated for the first half of the rounds.
   */
  double mIsolatedShare = 0;
  /** The host that gets the request is restarted before each round. */
  bool mRestarts = false;
};

CrashFleet RunScenario(const CrashScenario& aScenario, std::uint32_t aSeed) {
  CrashFleet fleet(aScenario.mTerms, aSeed);
  std::mt19937 random(aSeed);
  const std::size_t hosts = aScenario.mTerms.mHosts;
  fleet.Run(seconds(6));
  const auto isolated = static_cast<std::size_t>(static_cast<double>(hosts) *
                                                 aScenario.mIsolatedShare);
  for (std::size_t host = 0; host < isolated; ++host) {
    fleet.Isolate(host, true);
  }
  for (std::size_t round = 0; round < aScenario.mRounds; ++round) {
    if (round == aScenario.mRounds / 2) {
      for (std::size_t host = 0; host < isolated; ++host) {
        fleet.Isolate(host, false);
      }
    }
    const std::size_t host = random() % hosts;
    if (aScenario.mRestarts) {
      fleet.Restart(host);
      fleet.Run(milliseconds(500));
    }
    fleet.SendRequest(host, aScenario.mRouteHost, CrashFleet::kCrashingTarget);
    for (std::size_t other = 0; other < aScenario.mOthers; ++other) {
      fleet.SendRequest(
          random() % hosts, aScenario.mRouteHost,
          "/" + std::to_string(round) + "." + std::to_string(other));
    }
    fleet.Run(aScenario.mInterval);
  }
  fleet.Run(seconds(3));
  return fleet;
}

/** Crashes that one request may cause, and requests that may reach endpoints
 * once all hosts know of the quarantine. */
constexpr std::size_t kMaxCrashes = 3;
constexpr std::size_t kMaxSends = 3;
constexpr seconds kDisseminationTime{3};
/** Requests that an endpoint runs at the same time. */
constexpr std::size_t kSlots = 6;

// Guards against a request that crashes one endpoint after another because it
// arrives at a different host each time.
TEST_CASE("crash fleet: a repeated request crashes at most three endpoints") {
  for (const std::size_t hosts : {1, 6, 20}) {
    for (const char* const route :
         {CrashFleet::kSafeHost, CrashFleet::kOnceHost}) {
      for (const bool keepsId : {true, false}) {
        for (const std::size_t others : {0, 20}) {
          CAPTURE(hosts);
          CAPTURE(std::string(route));
          CAPTURE(keepsId);
          CAPTURE(others);
          CrashScenario scenario;
          scenario.mTerms.mHosts = hosts;
          scenario.mTerms.mDataCentres = hosts > 1 ? 3 : 1;
          scenario.mTerms.mKeepsId = keepsId;
          scenario.mRouteHost = route;
          scenario.mOthers = others;
          const CrashFleet fleet = RunScenario(scenario, 1);
          CHECK(fleet.Crashes().size() >= 2);
          CHECK(fleet.Crashes().size() <= kMaxCrashes);
          // Other requests that ran on a crashed endpoint may be lost.
          CHECK(fleet.OthersAnswered() + fleet.Crashes().size() * kSlots >=
                fleet.Others());
        }
      }
    }
  }
}

// Guards against hosts that miss a quarantine because its records were sent
// only once.
TEST_CASE("crash fleet: isolated and restarted hosts learn of a quarantine") {
  struct Case {
    const char* mWhat;
    std::size_t mHosts;
    double mLoss;
    double mIsolatedShare;
    bool mRestarts;
    bool mCrashesSilently;
  };
  const std::vector<Case> cases = {
      {"lost datagrams", 20, 0.3, 0, false, false},
      {"a third is isolated", 20, 0.02, 0.35, false, false},
      {"each host restarts before the request", 20, 0.02, 0, true, false},
      {"crashed endpoints do not answer", 20, 0.02, 0, false, true},
      {"a large fleet", 300, 0.05, 0.1, false, false},
  };
  for (const Case& one : cases) {
    for (const std::uint32_t seed : {1, 2, 3, 4, 5}) {
      if (one.mHosts > 100 && seed > 2) {
        continue;
      }
      CAPTURE(std::string(one.mWhat));
      CAPTURE(seed);
      CrashScenario scenario;
      scenario.mTerms.mHosts = one.mHosts;
      scenario.mTerms.mDataCentres = 3;
      scenario.mTerms.mLoss = one.mLoss;
      scenario.mTerms.mCrashesSilently = one.mCrashesSilently;
      scenario.mIsolatedShare = one.mIsolatedShare;
      scenario.mRestarts = one.mRestarts;
      const CrashFleet fleet = RunScenario(scenario, seed);
      REQUIRE(fleet.Crashes().size() >= 2);
      const std::size_t third =
          std::min<std::size_t>(2, fleet.Crashes().size() - 1);
      CHECK(fleet.SentAfter(fleet.Crashes()[third] + kDisseminationTime) <=
            kMaxSends);
    }
  }
}

}  // namespace
}  // namespace papayawheel
