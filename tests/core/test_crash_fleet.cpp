#include <doctest/doctest.h>

#include <algorithm>

#include "tests/core/crash_fleet.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A request for kCrashingTarget comes anew at these distances, at one host
 * after the other, beside other requests. */
struct CrashScenario {
  CrashFleetTerms mTerms;
  const char* mRouteHost = CrashFleet::kSafeHost;
  milliseconds mInterval{1000};
  std::size_t mRounds = 20;
  /** Requests beside it in each round. */
  std::size_t mOthers = 20;
  /** A part of the hosts is cut off for the first half of the rounds, or starts
   * anew one after the other. */
  double mIsolatedShare = 0;
  bool mRestarts = false;
};

CrashFleet RunScenario(const CrashScenario& aSiege, std::uint32_t aSeed) {
  CrashFleet fleet(aSiege.mTerms, aSeed);
  std::mt19937 random(aSeed);
  const std::size_t hosts = aSiege.mTerms.mHosts;
  fleet.Run(seconds(6));
  const auto cut = static_cast<std::size_t>(static_cast<double>(hosts) *
                                            aSiege.mIsolatedShare);
  for (std::size_t host = 0; host < cut; ++host) {
    fleet.Isolate(host, true);
  }
  for (std::size_t round = 0; round < aSiege.mRounds; ++round) {
    if (round == aSiege.mRounds / 2) {
      for (std::size_t host = 0; host < cut; ++host) {
        fleet.Isolate(host, false);
      }
    }
    const std::size_t host = random() % hosts;
    if (aSiege.mRestarts) {
      fleet.Restart(host);
      fleet.Run(milliseconds(500));
    }
    fleet.SendRequest(host, aSiege.mRouteHost, CrashFleet::kCrashingTarget);
    for (std::size_t other = 0; other < aSiege.mOthers; ++other) {
      fleet.SendRequest(
          random() % hosts, aSiege.mRouteHost,
          "/" + std::to_string(round) + "." + std::to_string(other));
    }
    fleet.Run(aSiege.mInterval);
  }
  fleet.Run(seconds(3));
  return fleet;
}

/** What the fleet may do at most with a request that has crashed three. */
constexpr std::size_t kMaxCrashes = 3;
constexpr std::size_t kMaxSends = 3;
constexpr seconds kDisseminationTime{3};
/** Requests that an endpoint runs at once. */
constexpr std::size_t kSlots = 6;

// Guards against a request that is sent to one endpoint after the other, at any
// host, though each ended with it (BUDGET).
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
          CrashScenario siege;
          siege.mTerms.mHosts = hosts;
          siege.mTerms.mDataCentres = hosts > 1 ? 3 : 1;
          siege.mTerms.mKeepsId = keepsId;
          siege.mRouteHost = route;
          siege.mOthers = others;
          const CrashFleet fleet = RunScenario(siege, 1);
          CHECK(fleet.Crashes().size() >= 2);
          CHECK(fleet.Crashes().size() <= kMaxCrashes);
          // What ran on them may have been lost with them.
          CHECK(fleet.OthersAnswered() + fleet.Crashes().size() * kSlots >=
                fleet.Others());
        }
      }
    }
  }
}

// Guards against hosts that do not learn of a stop, since it was told once.
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
      {"a third is cut off", 20, 0.02, 0.35, false, false},
      {"each host starts anew before it is asked", 20, 0.02, 0, true, false},
      {"endpoints go dark", 20, 0.02, 0, false, true},
      {"a large fleet", 300, 0.05, 0.1, false, false},
  };
  for (const Case& one : cases) {
    for (const std::uint32_t seed : {1, 2, 3, 4, 5}) {
      if (one.mHosts > 100 && seed > 2) {
        continue;
      }
      CAPTURE(std::string(one.mWhat));
      CAPTURE(seed);
      CrashScenario siege;
      siege.mTerms.mHosts = one.mHosts;
      siege.mTerms.mDataCentres = 3;
      siege.mTerms.mLoss = one.mLoss;
      siege.mTerms.mCrashesSilently = one.mCrashesSilently;
      siege.mIsolatedShare = one.mIsolatedShare;
      siege.mRestarts = one.mRestarts;
      const CrashFleet fleet = RunScenario(siege, seed);
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
