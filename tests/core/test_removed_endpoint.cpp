// An endpoint's entry is removed from the store when the endpoint leaves, and
// also when the store was away for so long that the entry could not be renewed.
// An endpoint that has left must not be used for longer than it goes on
// serving; one that still runs must stay in use until it has published itself
// again.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/core/gossip_fleet.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kKey = "endpoint0";

/** Time for which an endpoint serves after the store has accepted its leaving,
 * less the time that a request needs to reach it. */
constexpr milliseconds kServesOn{1990};

/** Time within which an endpoint that runs has published itself again after the
 * return of the store, and until which each host must use it. */
constexpr milliseconds kPublishedAgain{1700};

std::vector<std::size_t> HostsThatUse(GossipFleet& aFleet) {
  std::vector<std::size_t> hosts;
  for (std::size_t host = 0; host < aFleet.Size(); ++host) {
    if (aFleet.Uses(host, kKey)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

GossipFleet MakeFleet(std::size_t aHosts, std::uint32_t aSeed) {
  GossipFleet fleet(aHosts, 2, aSeed);
  fleet.Write(kKey, "1");
  fleet.Run(seconds(10));
  REQUIRE(HostsThatUse(fleet).size() == aHosts);
  return fleet;
}

// Guards against a host that takes the removal of an endpoint for an expiry,
// because it has just started or resumed, and uses the endpoint for a while
// from when it reads of the removal.
TEST_CASE("removed endpoint: no host uses one that has left for too long") {
  struct Case {
    std::size_t mHosts;
    /** Time between the event at a host and the removal. */
    milliseconds mBefore;
    /** Whether the watches that wait are cut just before the removal. */
    bool mCutsWatches;
    milliseconds mStoreDelay;
  };
  const std::vector<Case> cases = {
      {1, milliseconds(200), true, milliseconds(4)},
      {1, milliseconds(700), true, milliseconds(4)},
      {1, milliseconds(1000), true, milliseconds(4)},
      {1, milliseconds(1000), false, milliseconds(4)},
      {1, milliseconds(1400), true, milliseconds(4)},
      {1, milliseconds(2500), true, milliseconds(4)},
      {1, milliseconds(600), true, milliseconds(400)},
      {1, milliseconds(1300), true, milliseconds(400)},
      {2, milliseconds(700), true, milliseconds(4)},
      {2, milliseconds(1300), true, milliseconds(200)},
      {18, milliseconds(100), true, milliseconds(4)},
      {18, milliseconds(700), true, milliseconds(4)},
      {18, milliseconds(1300), true, milliseconds(200)},
  };
  enum class Event { Restart, RestartOfAll, Suspension };
  for (const Case& one : cases) {
    for (const Event event :
         {Event::Restart, Event::RestartOfAll, Event::Suspension}) {
      for (std::uint32_t seed = 1; seed < 6; ++seed) {
        CAPTURE(one.mHosts);
        CAPTURE(one.mBefore.count());
        CAPTURE(one.mCutsWatches);
        CAPTURE(one.mStoreDelay.count());
        CAPTURE(static_cast<int>(event));
        CAPTURE(seed);
        GossipFleet fleet = MakeFleet(one.mHosts, seed);
        const std::size_t last =
            event == Event::RestartOfAll ? one.mHosts : std::size_t{1};
        for (std::size_t host = 0; host < last; ++host) {
          event == Event::Suspension ? fleet.Suspend(host, true)
                                     : fleet.Kill(host);
        }
        fleet.Run(milliseconds(300));
        for (std::size_t host = 0; host < last; ++host) {
          event == Event::Suspension ? fleet.Suspend(host, false)
                                     : fleet.Restart(host);
        }
        fleet.SetStoreDelay(one.mStoreDelay);
        fleet.Run(one.mBefore);
        if (one.mCutsWatches) {
          fleet.CutWatches();
        }
        fleet.Remove(kKey);
        fleet.Run(kServesOn);
        CHECK(HostsThatUse(fleet).empty());
      }
    }
  }
}

// Guards against a host that drops an endpoint which runs, when its entry
// expired because the store was away.
TEST_CASE("removed endpoint: all hosts use one whose entry only expired") {
  struct Case {
    std::size_t mHosts;
    /** What happens to some hosts while the store is away. */
    bool mRestarts;
    bool mSuspends;
    bool mIsRestored;
    /** When the entry is removed, after the return of the store. */
    milliseconds mRemovedAfter;
  };
  const std::vector<Case> cases = {
      {1, false, false, false, milliseconds(0)},
      {1, false, false, false, milliseconds(900)},
      {18, false, false, false, milliseconds(0)},
      {18, false, false, false, milliseconds(900)},
      {18, true, false, false, milliseconds(0)},
      {18, true, false, false, milliseconds(900)},
      {18, false, true, false, milliseconds(0)},
      {18, true, true, false, milliseconds(500)},
      {18, false, false, true, milliseconds(0)},
      {18, true, false, true, milliseconds(0)},
  };
  for (const Case& one : cases) {
    for (std::uint32_t seed = 1; seed < 6; ++seed) {
      for (const bool isGone : {false, true}) {
        CAPTURE(one.mHosts);
        CAPTURE(one.mRestarts);
        CAPTURE(one.mSuspends);
        CAPTURE(one.mIsRestored);
        CAPTURE(one.mRemovedAfter.count());
        CAPTURE(seed);
        CAPTURE(isGone);
        GossipFleet fleet(one.mHosts, 2, seed);
        fleet.Run(seconds(4));
        fleet.CopyStore();
        fleet.Write(kKey, "1");
        fleet.Run(seconds(6));
        fleet.SetStoreDown(true);
        fleet.Run(seconds(2));
        if (one.mRestarts) {
          fleet.Kill(0);
          fleet.Kill(5);
        }
        if (one.mSuspends) {
          fleet.Suspend(1, true);
        }
        fleet.Run(seconds(2));
        if (one.mRestarts) {
          fleet.Restart(0);
          fleet.Restart(5);
        }
        if (one.mSuspends) {
          fleet.Suspend(1, false);
        }
        fleet.Run(seconds(2));
        REQUIRE(HostsThatUse(fleet).size() == one.mHosts);
        if (one.mIsRestored) {
          fleet.RestoreStore();
          fleet.SetStoreDown(false);
        } else if (one.mRemovedAfter == milliseconds(0)) {
          fleet.Remove(kKey);
          fleet.SetStoreDown(false);
        } else {
          fleet.SetStoreDown(false);
          fleet.Run(one.mRemovedAfter);
          fleet.Remove(kKey);
        }
        milliseconds sinceReturn = one.mRemovedAfter;
        for (; sinceReturn < kPublishedAgain; sinceReturn += milliseconds(20)) {
          REQUIRE(HostsThatUse(fleet).size() == one.mHosts);
          fleet.Run(milliseconds(20));
        }
        if (!isGone) {
          fleet.Write(kKey, "2");
        }
        fleet.Run(seconds(3));
        CHECK(HostsThatUse(fleet).size() == (isGone ? 0 : one.mHosts));
      }
    }
  }
}

// Guards against a host that drops an endpoint which runs, as it starts when
// the store returns and does not know that the store was away. The entry
// expires after the return, as it is not renewed in time.
TEST_CASE("removed endpoint: a host that starts later keeps one that expired") {
  struct Case {
    /** Times after the start of the host. */
    int mExpiresAtMs;
    int mUsedUntilMs;
  };
  const std::vector<Case> cases = {
      {300, 1700}, {600, 2200}, {900, 2400}, {1200, 2600}};
  for (const Case& one : cases) {
    for (std::uint32_t seed = 1; seed < 6; ++seed) {
      CAPTURE(one.mExpiresAtMs);
      CAPTURE(seed);
      GossipFleet fleet = MakeFleet(1, seed);
      fleet.Kill(0);
      fleet.Run(seconds(5));
      fleet.Restart(0);
      fleet.Run(milliseconds(one.mExpiresAtMs));
      fleet.Remove(kKey);
      for (int at = one.mExpiresAtMs; at < one.mUsedUntilMs; at += 20) {
        REQUIRE(fleet.Uses(0, kKey));
        fleet.Run(milliseconds(20));
      }
      fleet.Write(kKey, "2");
      fleet.Run(milliseconds(500));
      CHECK(fleet.Uses(0, kKey));
    }
  }
}

// Guards against an endpoint that has left and is used again, when the store
// comes back from a copy that still lists it and the hosts took its removal for
// an expiry.
TEST_CASE("removed endpoint: one that left after a start stays unused") {
  for (const std::size_t hosts : {1, 6}) {
    for (std::uint32_t seed = 1; seed < 6; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      GossipFleet fleet = MakeFleet(hosts, seed);
      for (std::size_t host = 0; host < hosts; ++host) {
        fleet.Kill(host);
      }
      fleet.Run(milliseconds(300));
      for (std::size_t host = 0; host < hosts; ++host) {
        fleet.Restart(host);
      }
      fleet.Run(milliseconds(1000));
      fleet.CopyStore();
      fleet.Remove(kKey);
      fleet.Run(seconds(3));
      REQUIRE(HostsThatUse(fleet).empty());
      fleet.SetStoreDown(true);
      fleet.Run(seconds(1));
      fleet.RestoreStore();
      fleet.SetStoreDown(false);
      for (int step = 0; step < 50; ++step) {
        fleet.Run(milliseconds(100));
        REQUIRE(HostsThatUse(fleet).empty());
      }
    }
  }
}

}  // namespace
}  // namespace papayawheel
