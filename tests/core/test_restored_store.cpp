// The platform's store comes back from a copy that lacks its latest changes:
// revisions go back and are given out again.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

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

/** The store is restored while a host may lose its path or stop for a moment.
 */
struct Restore {
  std::string mWhat;
  /** Acts just before the store returns. */
  std::function<void(GossipFleet&)> mBefore;
  /** Acts just after it has returned. */
  std::function<void(GossipFleet&)> mAfter;
};

const std::vector<Restore>& Restores() {
  static const std::vector<Restore> sRestores = {
      {"nothing else", [](GossipFleet&) {}, [](GossipFleet&) {}},
      {"a host starts", [](GossipFleet& aFleet) { aFleet.Kill(5); },
       [](GossipFleet& aFleet) { aFleet.Restart(5); }},
      {"all seeds start",
       [](GossipFleet& aFleet) {
         for (std::size_t host = 0; host < 3; ++host) {
           aFleet.Kill(host);
         }
       },
       [](GossipFleet& aFleet) {
         for (std::size_t host = 0; host < 3; ++host) {
           aFleet.Restart(host);
         }
       }},
      {"half of the hosts are cut off from the store",
       [](GossipFleet& aFleet) {
         for (std::size_t host = 0; host < aFleet.Size(); host += 2) {
           aFleet.CutFromStore(host, true);
         }
       },
       [](GossipFleet&) {}},
      {"a host was suspended",
       [](GossipFleet& aFleet) {
         aFleet.Suspend(7, true);
         aFleet.Run(seconds(1));
       },
       [](GossipFleet& aFleet) { aFleet.Suspend(7, false); }},
      {"the store is restored once more", [](GossipFleet&) {},
       [](GossipFleet& aFleet) {
         aFleet.Run(milliseconds(300));
         aFleet.RestoreStore();
       }},
  };
  return sRestores;
}

/** Runs a fleet whose store is restored. @param aLose makes the changes that
 * the copy lacks. */
std::unique_ptr<GossipFleet> RunRestore(
    const Restore& aRestore, std::uint32_t aSeed,
    const std::function<void(GossipFleet&)>& aLose) {
  auto running = std::make_unique<GossipFleet>(18, 4, aSeed);
  GossipFleet& fleet = *running;
  fleet.Write("version", "4");
  fleet.Write("left", "1");
  fleet.Run(seconds(10));
  fleet.CopyStore();
  aLose(fleet);
  fleet.Run(seconds(3));
  fleet.SetStoreDown(true);
  fleet.Run(seconds(1));
  aRestore.mBefore(fleet);
  fleet.RestoreStore();
  fleet.SetStoreDown(false);
  aRestore.mAfter(fleet);
  return running;
}

// Guards against a configuration that goes back to an older one: the copy's, on
// hosts that knew a newer one and on hosts that start just then.
TEST_CASE("restored store: a newer value that the store lost stays in force") {
  for (const Restore& restore : Restores()) {
    for (std::uint32_t seed = 50; seed < 53; ++seed) {
      CAPTURE(restore.mWhat);
      CAPTURE(seed);
      const auto running = RunRestore(restore, seed, [](GossipFleet& aFleet) {
        aFleet.Write("version", "6");
      });
      GossipFleet& fleet = *running;
      CHECK(fleet.TimeUntilHeld("version", "6", seconds(1)).has_value());
      for (int step = 0; step < 40; ++step) {
        fleet.Run(milliseconds(100));
        CHECK(fleet.TimeUntilHeld("version", "6", milliseconds(0)).has_value());
      }
      // The writer repeats what was lost, an older value first.
      fleet.Write("version", "5");
      fleet.Run(seconds(2));
      CHECK(fleet.TimeUntilHeld("version", "6", milliseconds(0)).has_value());
      fleet.Write("version", "6");
      fleet.Write("version", "7");
      CHECK(fleet.TimeUntilHeld("version", "7", kChangeBound).has_value());
    }
  }
}

// Guards against an endpoint that has left and is in use again, because the
// store's copy lists it; and against one that is never used again although the
// store goes on listing it.
TEST_CASE("restored store: a removal that the store lost holds for some time") {
  for (const Restore& restore : Restores()) {
    CAPTURE(restore.mWhat);
    const auto running = RunRestore(
        restore, 60, [](GossipFleet& aFleet) { aFleet.Remove("left"); });
    GossipFleet& fleet = *running;
    CHECK(fleet.TimeUntilHeld("left", std::nullopt, seconds(1)).has_value());
    fleet.Run(seconds(6));
    CHECK(
        fleet.TimeUntilHeld("left", std::nullopt, milliseconds(0)).has_value());
    CHECK(fleet.TimeUntilHeld("left", "1", seconds(20)).has_value());
    fleet.Run(seconds(20));
    CHECK(fleet.TimeUntilHeld("left", "1", milliseconds(0)).has_value());
  }
}

// Guards against a period that began with one restore and ends soon after the
// next one.
TEST_CASE("restored store: each restore begins the period of lost removals") {
  const auto running =
      RunRestore(Restores().front(), 63,
                 [](GossipFleet& aFleet) { aFleet.Remove("left"); });
  GossipFleet& fleet = *running;
  fleet.Run(seconds(8));
  fleet.RestoreStore();
  fleet.Run(seconds(6));
  CHECK(fleet.TimeUntilHeld("left", std::nullopt, milliseconds(0)).has_value());
  CHECK(fleet.TimeUntilHeld("left", "1", seconds(20)).has_value());
}

TEST_CASE("restored store: an entry that its writer repeats is in use again") {
  const auto running =
      RunRestore(Restores().front(), 61,
                 [](GossipFleet& aFleet) { aFleet.Remove("left"); });
  GossipFleet& fleet = *running;
  fleet.Run(seconds(1));
  fleet.Write("left", "2");
  CHECK(fleet.TimeUntilHeld("left", "2", kChangeBound).has_value());
}

TEST_CASE("restored store: the store drops an entry whose removal it lost") {
  const auto running =
      RunRestore(Restores().front(), 62,
                 [](GossipFleet& aFleet) { aFleet.Remove("left"); });
  GossipFleet& fleet = *running;
  fleet.Run(seconds(4));
  fleet.Remove("left");
  fleet.Run(seconds(15));
  CHECK(fleet.TimeUntilHeld("left", std::nullopt, milliseconds(0)).has_value());
}

/** Reads numbers; see StoreView. */
std::optional<WriteOrder> ReadOrder(const std::string& /*aKey*/,
                                    const std::string& aValue) {
  return WriteOrder{0, std::stoll(aValue)};
}

StoreDelta ReadOf(std::uint64_t aEra, std::uint64_t aAsOf,
                  std::vector<StoreChange> aChanges) {
  return StoreDelta{true, aAsOf, std::move(aChanges), {}, aEra};
}

// Guards against endpoints that are left unused: their entries expired in an
// outage, and the copy brings them back.
TEST_CASE("restored store: entries that expired come back with the copy") {
  for (const bool mayHaveExpired : {false, true}) {
    CAPTURE(mayHaveExpired);
    StoreView view(ReadOrder);
    view.Apply(ReadOf(1, 5, {{"entry", 4, "1"}}));
    view.Apply(StoreDelta{false, 6, {{"entry", 6, std::nullopt}}, {}, 1},
               mayHaveExpired);
    view.Apply(ReadOf(2, 5, {{"entry", 4, "1"}}));
    CHECK(view.ValueOf("entry").has_value() == mayHaveExpired);
  }
}

// Guards against answers that were not applied and yet confirmed the view.
TEST_CASE("restored store: only answers of the view's era confirm it") {
  struct Case {
    std::string mWhat;
    StoreDelta mAnswer;
    bool mConfirms;
  };
  const std::vector<Case> cases = {
      {"changes of a later era", StoreDelta{false, 6, {}, {}, 3}, false},
      {"no change in the same era", StoreDelta{false, 5, {}, {}, 2}, true},
      {"a late answer of an earlier era", StoreDelta{false, 9, {}, {}, 1},
       false},
      {"a late read of an earlier era", ReadOf(1, 9, {{"key", 9, "9"}}), false},
      {"a read of a later era", ReadOf(3, 2, {{"key", 2, "1"}}), true},
  };
  const TimePoint start{std::chrono::hours(1)};
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    ViewSynchronizer synchronizer(start - seconds(2), 1, false, ReadOrder);
    synchronizer.Tick({ReaderRole::Watcher}, start - seconds(1));
    synchronizer.StoreAnswered(ReadOf(2, 5, {{"key", 4, "3"}}),
                               start - seconds(1));
    synchronizer.Tick({ReaderRole::Watcher}, start);
    synchronizer.StoreAnswered(one.mAnswer, start);
    const bool isConfirmed =
        *synchronizer.Summary(start).mAge < milliseconds(500);
    CHECK(isConfirmed == one.mConfirms);
    CHECK(synchronizer.View().ValueOf("key") == "3");
  }
}

// Guards against summaries and transfers of different eras that are compared by
// their revisions.
TEST_CASE("restored store: hosts of different eras exchange full copies") {
  const TimePoint now{std::chrono::hours(1)};
  ViewSynchronizer before(now - seconds(2), 1, false, ReadOrder);
  ViewSynchronizer after(now - seconds(2), 2, false, ReadOrder);
  before.Tick({ReaderRole::Watcher}, now);
  before.StoreAnswered(ReadOf(1, 9, {{"key", 9, "9"}, {"other", 4, "1"}}), now);
  after.Tick({ReaderRole::Watcher}, now);
  after.StoreAnswered(ReadOf(2, 9, {{"key", 3, "2"}, {"new", 9, "1"}}), now);
  CHECK(after.NotePeerSummary("before", before.Summary(now), now, now).empty());
  const ViewActions actions =
      before.NotePeerSummary("after", after.Summary(now), now, now);
  REQUIRE(actions.size() == 1);
  const auto& pull = std::get<PullView>(actions.front());
  const auto copy = after.ServePull(pull.mEra, pull.mAfter, now);
  REQUIRE(copy);
  CHECK(copy->mDelta.mFull);
  before.FinishPull(copy, now);
  CHECK(before.View().Era() == 2);
  CHECK(before.View().ValueOf("key") == "9");
  CHECK_FALSE(before.View().ValueOf("other"));
  CHECK(before.View().ValueOf("new") == "1");
  // The host that knew only the copy learns of the newer value.
  const ViewActions back =
      after.NotePeerSummary("before", before.Summary(now), now, now);
  REQUIRE(back.size() == 1);
  const auto& pullBack = std::get<PullView>(back.front());
  const auto changes = after.FinishPull(
      before.ServePull(pullBack.mEra, pullBack.mAfter, now), now);
  REQUIRE(changes.size() == 1);
  CHECK(after.View().ValueOf("key") == "9");
  CHECK(after.NotePeerSummary("before", before.Summary(now), now, now).empty());
  // A copy of the earlier era that arrives late changes nothing.
  after.FinishPull(
      ViewTransfer{ReadOf(1, 20, {{"key", 20, "20"}}), seconds(0), 1}, now);
  CHECK(after.View().ValueOf("key") == "9");
}

}  // namespace
}  // namespace papayawheel
