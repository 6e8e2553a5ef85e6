#include <doctest/doctest.h>

#include "core/view/view_synchronizer.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

/** A reader's keeper that has read the store. */
ViewSynchronizer MakeReader(TimePoint aNow) {
  ViewSynchronizer keeper(kStart - seconds(1), 1, false);
  keeper.Tick(true, aNow);
  keeper.StoreAnswered(StoreDelta{true, 5, {{"key", 4, "x"}}}, aNow);
  return keeper;
}

/** The call to the store among some actions. */
std::optional<WatchStore> WatchOf(const ViewActions& aActions) {
  for (const ViewAction& action : aActions) {
    if (const auto* const watch = std::get_if<WatchStore>(&action)) {
      return *watch;
    }
  }
  return std::nullopt;
}

TEST_CASE(
    "view synchronizer: a store that failed is retried with short calls") {
  ViewSynchronizer keeper = MakeReader(kStart);
  TimePoint now = kStart + seconds(1);
  REQUIRE(WatchOf(keeper.Tick(true, now)));
  for (int failure = 0; failure < 5; ++failure) {
    keeper.StoreFailed(StoreFailure::NoAnswer, now);
    now += seconds(1);
    const auto trial = WatchOf(keeper.Tick(true, now));
    REQUIRE(trial);
    // A call that is lost ends soon, so a store that is back is soon noticed.
    CHECK(trial->mWait <= milliseconds(300));
    CHECK(trial->mAfter == 5);
  }
  keeper.StoreAnswered(StoreDelta{false, 6, {}}, now);
  CHECK(WatchOf(keeper.Tick(true, now))->mWait >= seconds(2));
}

TEST_CASE(
    "view synchronizer: a store without the requested history is read in "
    "full") {
  ViewSynchronizer keeper = MakeReader(kStart);
  keeper.Tick(true, kStart + seconds(1));
  keeper.StoreFailed(StoreFailure::HistoryGone, kStart + seconds(1));
  const ViewActions actions = keeper.Tick(true, kStart + seconds(2));
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<ReadStore>(actions.front()));
}

TEST_CASE("view synchronizer: when a host may act on its view") {
  ViewSynchronizer keeper(kStart, 1, false);
  CHECK_FALSE(keeper.IsViewFresh(kStart));
  keeper.FinishPull(StoreDelta{true, 5, {{"key", 4, "x"}}}, milliseconds(100),
                    kStart + milliseconds(50));
  // The other host's copy is from before this process started.
  CHECK_FALSE(keeper.IsViewFresh(kStart + milliseconds(50)));
  keeper.NotePeerSummary("peer", ViewSummary{4, 5, milliseconds(0)},
                         kStart + milliseconds(60));
  CHECK(keeper.IsViewFresh(kStart + milliseconds(60)));
  keeper.Invalidate(kStart + seconds(9));
  CHECK_FALSE(keeper.IsViewFresh(kStart + seconds(9)));
  // A host that nobody answers serves all the same after a while.
  CHECK(keeper.IsViewFresh(kStart + seconds(13)));
}

}  // namespace
}  // namespace papayawheel
