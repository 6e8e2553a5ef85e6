// The platform's store comes back from a copy that lacks its latest changes:
// revisions go back and are given out again.

#include <doctest/doctest.h>

#include "tests/core/gossip_fleet.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time in which a change must be known to every host. */
constexpr seconds kChangeBound{2};

// Guards against hosts that order the changes of a restored store by revisions
// of the store before, so that changes with revisions that are given out again
// are lost.
TEST_CASE("restored store: a change after the return is known in time") {
  struct Case {
    std::size_t mHosts;
    /** Changes that the copy lacks. */
    int mLostChanges;
    /** Changes that are written again at once, with other revisions. */
    int mRepeatedChanges;
    milliseconds mTimeBeforeChange;
  };
  const std::vector<Case> cases = {
      {18, 1, 0, milliseconds(0)},    {18, 1, 0, milliseconds(4000)},
      {18, 1, 1, milliseconds(100)},  {18, 3, 1, milliseconds(1000)},
      {18, 30, 2, milliseconds(100)}, {60, 2, 2, milliseconds(4000)},
      {60, 30, 0, milliseconds(0)},
  };
  for (const Case& one : cases) {
    for (std::uint32_t seed = 40; seed < 43; ++seed) {
      CAPTURE(one.mHosts);
      CAPTURE(one.mLostChanges);
      CAPTURE(one.mRepeatedChanges);
      CAPTURE(one.mTimeBeforeChange.count());
      CAPTURE(seed);
      GossipFleet fleet(one.mHosts, 4, seed);
      fleet.Run(seconds(10));
      fleet.CopyStore();
      for (int number = 0; number < one.mLostChanges; ++number) {
        fleet.Write("lost", std::to_string(number));
      }
      fleet.Run(seconds(3));
      fleet.SetStoreDown(true);
      fleet.Run(seconds(2));
      fleet.RestoreStore();
      fleet.SetStoreDown(false);
      for (int number = 0; number < one.mRepeatedChanges; ++number) {
        fleet.Write("repeated", std::to_string(number));
      }
      fleet.Run(one.mTimeBeforeChange);
      fleet.Write("change", "new");
      CHECK(fleet.TimeUntilHeld("change", "new", kChangeBound).has_value());
    }
  }
}

// Guards against hosts that ask the store without end after its return, because
// they drop its answers as old.
TEST_CASE("restored store: few calls to the store after the return") {
  GossipFleet fleet(18, 4, 44);
  fleet.Run(seconds(10));
  fleet.CopyStore();
  fleet.Write("lost", "1");
  fleet.Run(seconds(3));
  fleet.RestoreStore();
  const std::uint64_t before = fleet.StoreCalls();
  fleet.Run(seconds(10));
  // As many as in ten calm seconds, and a read by each host.
  CHECK(fleet.StoreCalls() - before <= 20 + fleet.Size());
}

}  // namespace
}  // namespace papayawheel
