#include <doctest/doctest.h>

#include "core/gateway/reach_tracker.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kEndpoints = 10;

/** The time from a cut until it must be known: callers keep the directory's
 * answers for up to 3 s, and may fail no more than 3 s after it began. */
constexpr milliseconds kCutKnownWithin{600};

/** A tracker of a service that is in use. */
ReachTracker MakeTracker() {
  ReachTracker tracker(kStart);
  tracker.NoteAnswer(kStart + seconds(9));
  return tracker;
}

/** Lets all probes go unanswered until a time. Returns when the tracker took
 * the service for lost. */
std::optional<TimePoint> RunSilent(ReachTracker& aTracker, TimePoint aFrom,
                                   TimePoint aUntil) {
  std::size_t endpoint = 0;
  for (TimePoint now = aFrom; now <= aUntil; now += milliseconds(20)) {
    for (std::size_t left = aTracker.TakeChecks(now); left > 0; --left) {
      aTracker.NoteSilence("e" + std::to_string(endpoint++ % kEndpoints),
                           kEndpoints, now + milliseconds(15));
    }
    if (aTracker.IsLost()) {
      return now;
    }
  }
  return std::nullopt;
}

// Guards against a host that has lost its paths to all endpoints and does not
// notice.
TEST_CASE("reach: a cut is noticed soon after the first silent endpoint") {
  ReachTracker tracker = MakeTracker();
  const TimePoint cut = kStart + seconds(10);
  tracker.NoteSilence("e0", kEndpoints, cut);
  const auto noticed = RunSilent(tracker, cut, cut + seconds(3));
  REQUIRE(noticed);
  CHECK(*noticed - cut <= kCutKnownWithin);
  // It stays lost, and is checked, until endpoints answer again.
  CHECK(tracker.TakeChecks(*noticed + seconds(1)) > 0);
  CHECK(tracker.IsLost());
  tracker.NoteAnswer(*noticed + seconds(1));
  tracker.NoteAnswer(*noticed + seconds(1) + milliseconds(1));
  CHECK_FALSE(tracker.IsLost());
  CHECK(tracker.IsReached(*noticed + seconds(1) + milliseconds(1)));
}

TEST_CASE("reach: a service of which one endpoint answers is not lost") {
  ReachTracker tracker = MakeTracker();
  TimePoint now = kStart + seconds(10);
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(20);
    tracker.NoteSilence("e" + std::to_string(step % 9), kEndpoints, now);
    if (step % 10 == 0) {
      tracker.NoteAnswer(now);
    }
    CHECK_FALSE(tracker.IsLost());
  }
}

// Guards against a service that counts as lost because it was not used, or the
// process was suspended, before a few endpoints were silent at once.
TEST_CASE("reach: a long time without answers is no evidence by itself") {
  ReachTracker tracker = MakeTracker();
  const TimePoint now = kStart + seconds(60);
  for (const char* const endpoint : {"e0", "e1", "e2", "e3", "e4"}) {
    tracker.NoteSilence(endpoint, kEndpoints, now);
  }
  CHECK_FALSE(tracker.IsLost());
  CHECK(tracker.TakeChecks(now) > 0);
  tracker.NoteAnswer(now + milliseconds(5));
  tracker.NoteSilence("e5", kEndpoints, now + milliseconds(80));
  CHECK_FALSE(tracker.IsLost());
}

TEST_CASE("reach: a service with one endpoint is lost with it") {
  ReachTracker tracker = MakeTracker();
  const TimePoint now = kStart + seconds(10);
  tracker.NoteSilence("only", 1, now);
  tracker.NoteSilence("only", 1, now + milliseconds(500));
  CHECK(tracker.IsLost());
}

TEST_CASE("reach: a calm service is checked only while another host asks") {
  ReachTracker tracker(kStart);
  CHECK_FALSE(tracker.NextCheck());
  CHECK(tracker.TakeChecks(kStart + seconds(9)) == 0);
  CHECK_FALSE(tracker.IsReached(kStart + seconds(9)));
  tracker.SetChecked(true);
  CHECK(tracker.NextCheck());
  CHECK(tracker.TakeChecks(kStart + seconds(9)) > 0);
  tracker.NoteAnswer(kStart + seconds(9));
  CHECK(tracker.IsReached(kStart + seconds(9)));
  CHECK(tracker.TakeChecks(kStart + seconds(9) + milliseconds(50)) == 0);
}

}  // namespace
}  // namespace papayawheel
