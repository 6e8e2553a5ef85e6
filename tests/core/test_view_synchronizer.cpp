#include <doctest/doctest.h>

#include <random>

#include "core/view/view_synchronizer.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

/** Returns the synchronizer of a reader that has read the store. */
ViewSynchronizer MakeReader(TimePoint aNow, std::uint32_t aSeed = 1) {
  ViewSynchronizer synchronizer(kStart - seconds(1), aSeed, false);
  synchronizer.Tick({ReaderRole::Watcher}, aNow);
  synchronizer.StoreAnswered(StoreDelta{true, 5, {{"key", 4, "x"}}}, aNow);
  return synchronizer;
}

/** Returns the first watch of the store among the actions, if any. */
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
  ViewSynchronizer synchronizer = MakeReader(kStart);
  TimePoint now = kStart + seconds(1);
  REQUIRE(WatchOf(synchronizer.Tick({ReaderRole::Watcher}, now)));
  for (int failure = 0; failure < 5; ++failure) {
    synchronizer.StoreFailed(StoreFailure::NoAnswer, now);
    now += seconds(1);
    const auto watch = WatchOf(synchronizer.Tick({ReaderRole::Watcher}, now));
    REQUIRE(watch);
    // A lost call blocks the next one until it ends, so only short calls detect
    // a recovered store soon.
    CHECK(watch->mWait <= milliseconds(300));
    CHECK(watch->mAfter == 5);
  }
  synchronizer.StoreAnswered(StoreDelta{false, 6, {}}, now);
  CHECK(WatchOf(synchronizer.Tick({ReaderRole::Watcher}, now))->mWait >=
        seconds(2));
}

TEST_CASE(
    "view synchronizer: a store without the requested history is read in "
    "full") {
  ViewSynchronizer synchronizer = MakeReader(kStart);
  synchronizer.Tick({ReaderRole::Confirmer}, kStart + seconds(1));
  synchronizer.StoreFailed(StoreFailure::HistoryUnavailable,
                           kStart + seconds(1));
  const ViewActions actions =
      synchronizer.Tick({ReaderRole::Confirmer}, kStart + seconds(2));
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<ReadStore>(actions.front()));
}

TEST_CASE("view synchronizer: when a host may act on its view") {
  ViewSynchronizer synchronizer(kStart, 1, false);
  CHECK_FALSE(synchronizer.IsViewFresh(kStart));
  synchronizer.FinishPull(ViewTransfer{StoreDelta{true, 5, {{"key", 4, "x"}}},
                                       milliseconds(100), 1},
                          kStart + milliseconds(50));
  // The other host's view was last confirmed before this process started.
  CHECK_FALSE(synchronizer.IsViewFresh(kStart + milliseconds(50)));
  synchronizer.NotePeerSummary("peer", ViewSummary{4, 5, milliseconds(0)},
                               kStart + milliseconds(60),
                               kStart + milliseconds(60));
  CHECK(synchronizer.IsViewFresh(kStart + milliseconds(60)));
  synchronizer.Invalidate(kStart + seconds(9));
  CHECK_FALSE(synchronizer.IsViewFresh(kStart + seconds(9)));
  // A host that gets no answer from anybody uses its view again after a while.
  CHECK(synchronizer.IsViewFresh(kStart + seconds(13)));
}

// Guards against hosts that renew a confirmation by hearing of it from each
// other, with the delay of each hop added.
TEST_CASE("view synchronizer: a confirmation that returns is not a new one") {
  ViewSynchronizer one = MakeReader(kStart);
  ViewSynchronizer other = MakeReader(kStart - milliseconds(100), 2);
  TimePoint now = kStart;
  for (int hop = 0; hop < 50; ++hop) {
    const ViewSummary fromOne = one.Summary(now);
    now += milliseconds(20);
    other.NotePeerSummary("one", fromOne, now, now);
    const ViewSummary fromOther = other.Summary(now);
    now += milliseconds(20);
    one.NotePeerSummary("other", fromOther, now, now);
  }
  const StoreDelta nothing{false, 5, {}};
  other.FinishPull(ViewTransfer{nothing, one.Summary(now).mAge,
                                one.Summary(now).mConfirmation},
                   now);
  CHECK(*one.Summary(now).mAge == now - kStart);
  CHECK(*other.Summary(now).mAge >= now - kStart - milliseconds(20));
}

// Guards against hosts that lack a change and confirm each other's old view for
// ever: they tell each other of several answers of the store in turn, and take
// each one that is not the latest they heard of for a new one.
TEST_CASE("view synchronizer: answers of the store that alternate grow old") {
  constexpr std::size_t kHosts = 8;
  constexpr milliseconds kStep{5};
  /** Messages take so many steps at most. */
  constexpr std::size_t kMaxSteps = 8;
  std::mt19937 random(1);
  std::vector<ViewSynchronizer> hosts;
  for (std::uint32_t seed = 1; seed <= kHosts; ++seed) {
    hosts.push_back(MakeReader(kStart - kStep * seed, seed));
  }
  struct Message {
    std::size_t mTo;
    std::size_t mArrivesAt;
    ViewSummary mSummary;
  };
  std::vector<Message> messages;
  TimePoint now = kStart;
  for (std::size_t step = 0; step < 600; ++step, now += kStep) {
    for (const ViewSynchronizer& from : hosts) {
      messages.push_back({random() % kHosts, step + 1 + random() % kMaxSteps,
                          from.Summary(now)});
    }
    for (const Message& message : messages) {
      if (message.mArrivesAt == step) {
        hosts[message.mTo].NotePeerSummary("peer", message.mSummary, now, now);
      }
    }
    std::erase_if(messages, [step](const Message& aMessage) {
      return aMessage.mArrivesAt <= step;
    });
  }
  for (const ViewSynchronizer& host : hosts) {
    // Each answer may seem younger by the way from its reader to this host.
    CHECK(*host.Summary(now).mAge >= now - kStart - kHosts * kMaxSteps * kStep);
  }
}

// Guards against a host that waits for a pull that hangs, though others have
// the change, and against an answer that is dated by a later pull than its own.
TEST_CASE("view synchronizer: a pull that hangs does not keep others waiting") {
  ViewSynchronizer source = MakeReader(kStart);
  ViewSynchronizer host = MakeReader(kStart, 2);
  const TimePoint first = kStart + seconds(1);
  source.Tick({ReaderRole::Confirmer}, first);
  source.StoreAnswered(StoreDelta{false, 6, {{"key", 6, "y"}}}, first);
  const auto announce = [&](const std::string& aPeer, TimePoint aNow) {
    return host.NotePeerSummary(aPeer, source.Summary(aNow), aNow, aNow);
  };
  REQUIRE(announce("one", first).size() == 1);
  CHECK(announce("two", first + milliseconds(100)).empty());
  const TimePoint later = first + milliseconds(300);
  const ViewActions actions = announce("two", later);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<PullView>(actions.front()).mAddress == "two");
  const auto transfer = source.ServePull(0, 5, later);
  host.FinishPull(transfer, later + milliseconds(10));
  CHECK(host.View().Newest() == 6);
  CHECK(host.Confirmation()->mAt <= first);
  // The first pull ends at last.
  host.FinishPull(std::nullopt, later + milliseconds(300));
  CHECK(host.PullFromNextSource(later + milliseconds(300)).empty());
}

// Guards against a period of the store that begins earlier with each host that
// it is passed on to, by the time of each pull.
TEST_CASE("view synchronizer: a period that is passed on keeps its beginning") {
  ViewSynchronizer one = MakeReader(kStart);
  ViewSynchronizer other = MakeReader(kStart - milliseconds(100), 2);
  TimePoint now = kStart + seconds(1);
  for (std::uint64_t revision = 6; revision < 30; ++revision) {
    ViewSynchronizer& source = revision % 2 == 0 ? one : other;
    ViewSynchronizer& target = revision % 2 == 0 ? other : one;
    source.StoreAnswered(StoreDelta{false, revision, {{"key", revision, "x"}}},
                         now);
    REQUIRE_FALSE(
        target.NotePeerSummary("peer", source.Summary(now), now, now).empty());
    now += milliseconds(50);
    const auto transfer = source.ServePull(0, revision - 1, now);
    now += milliseconds(50);
    target.FinishPull(transfer, now);
  }
  const TimePoint begin = kStart - milliseconds(100);
  CHECK(one.Availability().Latest()->mFrom >= begin);
  CHECK(other.Availability().Latest()->mFrom == begin);
  CHECK(one.Availability().Latest()->mFrom < begin + milliseconds(100));
}

// Guards against a removed endpoint that stays in use: a host that has just
// started does not know of the removed key, so the newest revision of its keys
// is that of a host that still has the key.
TEST_CASE(
    "view synchronizer: a removal that a new host never saw reaches others") {
  ViewSynchronizer other(kStart - seconds(1), 2, false);
  other.Tick({ReaderRole::Watcher}, kStart);
  other.StoreAnswered(
      StoreDelta{true, 4, {{"removed", 3, "x"}, {"key", 4, "x"}}}, kStart);
  ViewSynchronizer started(kStart, 3, false);
  const TimePoint now = kStart + seconds(1);
  started.Tick({ReaderRole::Watcher}, now);
  started.StoreAnswered(StoreDelta{true, 5, {{"key", 4, "x"}}}, now);
  const ViewActions actions =
      other.NotePeerSummary("started", started.Summary(now), now, now);
  REQUIRE(actions.size() == 1);
  const auto& pull = std::get<PullView>(actions.front());
  other.FinishPull(started.ServePull(pull.mEra, pull.mAfter, now), now);
  CHECK_FALSE(other.View().Items().at("removed").mValue);
  // Neither host asks the other one again.
  CHECK(
      other.NotePeerSummary("started", started.Summary(now), now, now).empty());
  CHECK(started.NotePeerSummary("other", other.Summary(now), now, now).empty());
}

// Guards against a host that never learns of a change: a reader missed it
// between two pages of a read, its newest revision was higher already, and the
// others took their views for equal to its view.
TEST_CASE(
    "view synchronizer: a change between two pages of a read reaches others") {
  ViewSynchronizer reader = MakeReader(kStart);
  ViewSynchronizer other = MakeReader(kStart, 2);
  TimePoint now = kStart + seconds(1);
  reader.Tick({ReaderRole::Watcher}, now);
  reader.StoreFailed(StoreFailure::HistoryUnavailable, now);
  now += seconds(1);
  reader.Tick({ReaderRole::Watcher}, now);
  // The first page covers revision 5. Then "key" changes at 6 and "late", which
  // is on the second page, at 7.
  reader.StoreAnswered(StoreDelta{true, 5, {{"key", 4, "x"}, {"late", 7, "z"}}},
                       now);
  const auto pullFromReader = [&] {
    const ViewActions actions =
        other.NotePeerSummary("reader", reader.Summary(now), now, now);
    for (const ViewAction& action : actions) {
      if (const auto* const pull = std::get_if<PullView>(&action)) {
        other.FinishPull(reader.ServePull(pull->mEra, pull->mAfter, now), now);
      }
    }
  };
  pullFromReader();
  now += seconds(1);
  REQUIRE(WatchOf(reader.Tick({ReaderRole::Watcher}, now)));
  reader.StoreAnswered(
      StoreDelta{false, 7, {{"key", 6, "y"}, {"late", 7, "z"}}}, now);
  pullFromReader();
  CHECK(other.View().Items().at("key").mRevision == 6);
  CHECK(other.View().Items().at("late").mRevision == 7);
}

}  // namespace
}  // namespace papayawheel
