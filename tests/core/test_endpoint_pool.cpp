#include <doctest/doctest.h>

#include <fmt/format.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/endpoints/endpoint_pool.h"
#include "core/endpoints/endpoint_registry.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWork{80};
const TimePoint kStart{std::chrono::hours(1)};

EndpointEntry MakeEntry(const std::string& aId,
                        const std::string& aDataCentre) {
  EndpointEntry entry;
  entry.mId = aId;
  entry.mService = "service";
  entry.mAddress = "10.0.0.1:80";
  entry.mDataCentre = aDataCentre;
  entry.mSlots = 4;
  return entry;
}

EndpointMap MakeEntries() {
  EndpointMap entries;
  for (const char* const id : {"a", "b", "c"}) {
    entries.emplace(id, MakeEntry(id, "dc1"));
  }
  entries.emplace("far", MakeEntry("far", "dc2"));
  return entries;
}

/** A pool in which all endpoints have just reported that they are idle. */
EndpointPool MakePool(const EndpointMap& aEntries) {
  EndpointPool pool("dc1", 1);
  pool.Configure(aEntries, "service", kStart);
  for (const auto& [id, entry] : aEntries) {
    pool.NoteSample(id, LoadSample{0, 0, 4, 1}, kStart);
  }
  return pool;
}

/** How often each endpoint is selected in a hundred picks. */
std::map<std::string, int> Picks(EndpointPool& aPool, TimePoint aNow) {
  std::map<std::string, int> picks;
  for (int number = 0; number < 100; ++number) {
    ++picks[aPool.Pick({}, kWork, aNow)->mId];
  }
  return picks;
}

TEST_CASE("endpoint pool: what keeps work away from an endpoint") {
  struct Case {
    const char* mWhat;
    std::function<void(EndpointPool&, EndpointMap&)> mChange;
  };
  const std::vector<Case> cases = {
      {"another process slows its machine down",
       [](EndpointPool& aPool, EndpointMap&) {
         aPool.NoteSample("a", LoadSample{0, 0, 4, 5}, kStart);
       }},
      {"other hosts have loaded it above the saturation threshold",
       [](EndpointPool& aPool, EndpointMap&) {
         aPool.NoteSample("a", LoadSample{3, 0, 4, 1}, kStart);
       }},
      {"this host has loaded it above the saturation threshold",
       [](EndpointPool& aPool, EndpointMap&) {
         for (int sent = 0; sent < 3; ++sent) {
           aPool.NoteAttemptStarted("a", kStart);
         }
       }},
      {"it is draining",
       [](EndpointPool& aPool, EndpointMap& aEntries) {
         aEntries.at("a").mDraining = true;
         aPool.Configure(aEntries, "service", kStart);
       }},
      {"it is warming up",
       [](EndpointPool& aPool, EndpointMap& aEntries) {
         aEntries.at("a").mWarmUpRemaining = seconds(3);
         aPool.Configure(aEntries, "service", kStart);
       }},
      {"it cannot be reached",
       [](EndpointPool& aPool, EndpointMap&) {
         aPool.NoteAttemptStarted("a", kStart);
         aPool.NoteAttemptEnded("a", AttemptResult::NotConnected, false,
                                std::nullopt, kWork, kStart, kStart);
       }},
      {"it does not answer a load probe",
       [](EndpointPool& aPool, EndpointMap&) {
         aPool.NoteUnansweredProbe("a", kStart);
       }},
      {"its answer reports a failure",
       [](EndpointPool& aPool, EndpointMap&) {
         aPool.NoteAttemptStarted("a", kStart);
         aPool.NoteAttemptEnded("a", AttemptResult::Answered, true,
                                LoadSample{0, 0, 4, 1}, kWork, kStart, kStart);
       }},
      {"its answer takes much longer than its reports explain",
       [](EndpointPool& aPool, EndpointMap&) {
         aPool.NoteAttemptStarted("a", kStart - seconds(1));
         aPool.NoteAttemptEnded("a", AttemptResult::Answered, false,
                                LoadSample{0, 0, 4, 1}, kWork,
                                kStart - seconds(1), kStart);
       }},
      {"it is no longer published",
       [](EndpointPool& aPool, EndpointMap& aEntries) {
         aEntries.erase("a");
         aPool.Configure(aEntries, "service", kStart);
       }},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    EndpointMap entries = MakeEntries();
    EndpointPool pool = MakePool(entries);
    const auto before = Picks(pool, kStart);
    CHECK(before.at("a") > 10);
    one.mChange(pool, entries);
    const auto after = Picks(pool, kStart);
    CHECK(after.find("a") == after.end());
  }
}

TEST_CASE("endpoint pool: freshness of loads that were never reported") {
  const EndpointMap entries = MakeEntries();
  EndpointPool pool("dc1", 1);
  pool.Configure(entries, "service", kStart);
  CHECK_FALSE(pool.IsFresh("a", kStart));
  pool.NoteUnansweredProbe("b", kStart);
  CHECK(pool.IsFresh("a", kStart));
  pool.NoteSample("c", LoadSample{0, 0, 4, 1}, kStart);
  CHECK(pool.IsFresh("c", kStart));
  CHECK_FALSE(pool.IsFresh("a", kStart));
  CHECK_FALSE(pool.IsFresh("c", kStart + milliseconds(50)));
  // Once a report has arrived, an unanswered probe no longer means that the
  // service does not report its load.
  pool.NoteUnansweredProbe("b", kStart);
  CHECK_FALSE(pool.IsFresh("a", kStart));
}

TEST_CASE("endpoint pool: another data centre is used only if it is sooner") {
  struct Case {
    /** Service time factor of the endpoints in the host's data centre. */
    double mServiceTimeFactor;
    bool mUsesRemote;
  };
  const std::vector<Case> cases = {
      {1, false}, {1.3, false}, {1.6, false}, {2.2, true}, {5, true}};
  for (const Case& one : cases) {
    CAPTURE(one.mServiceTimeFactor);
    const EndpointMap entries = MakeEntries();
    EndpointPool pool = MakePool(entries);
    for (const char* const id : {"a", "b", "c"}) {
      pool.NoteSample(id, LoadSample{0, 0, 4, one.mServiceTimeFactor}, kStart);
    }
    CHECK(Picks(pool, kStart).count("far") == (one.mUsesRemote ? 1 : 0));
  }
}

TEST_CASE("endpoint pool: a restarted endpoint begins without history") {
  EndpointMap entries = MakeEntries();
  EndpointPool pool = MakePool(entries);
  pool.NoteUnansweredProbe("a", kStart);
  CHECK(pool.CountUsable({}, kStart) == 3);
  entries.at("a").mIncarnation = 7;
  pool.Configure(entries, "service", kStart);
  CHECK(pool.CountUsable({}, kStart) == 4);
}

TEST_CASE("endpoint pool: a notice holds until the endpoint restarts") {
  struct Case {
    const char* mWhat;
    EndpointNotice mNotice;
    std::function<void(EndpointMap&)> mPublish;
    Duration mAfter;
    bool mUsable;
  };
  const auto nothing = [](EndpointMap&) {};
  const auto restart = [](EndpointMap& aEntries) {
    aEntries.at("a").mIncarnation = 9;
  };
  const EndpointNotice drains{true, Duration::zero()};
  const EndpointNotice backsOff{false, seconds(3)};
  const std::vector<Case> cases = {
      {"it drains", drains, nothing, seconds(0), false},
      {"it has drained long ago", drains, nothing, std::chrono::hours(1),
       false},
      {"it drained and restarts", drains, restart, seconds(0), true},
      {"its backoff has not ended", backsOff, nothing, milliseconds(2990),
       false},
      {"its backoff has ended", backsOff, nothing, milliseconds(3010), true},
      {"it requested a backoff and restarts", backsOff, restart, seconds(0),
       true},
      {"its notice is empty", {}, nothing, seconds(0), true},
  };
  for (const Case& one : cases) {
    for (const bool vanishes : {false, true}) {
      CAPTURE(one.mWhat);
      CAPTURE(vanishes);
      EndpointMap entries = {{"a", MakeEntry("a", "dc1")}};
      EndpointPool pool = MakePool(entries);
      pool.NoteNotice("a", one.mNotice, kStart);
      if (vanishes) {
        pool.Configure({}, "service", kStart);
      }
      one.mPublish(entries);
      pool.Configure(entries, "service", kStart);
      CHECK(pool.CountUsable({}, kStart + one.mAfter) == (one.mUsable ? 1 : 0));
    }
  }
}

TEST_CASE("endpoint pool: without a fresh report the average load is assumed") {
  const EndpointMap entries = MakeEntries();
  struct Case {
    std::uint32_t mRunning;
    bool mIsQuick;
  };
  for (const Case& one : {Case{0, true}, Case{4, false}}) {
    EndpointPool pool = MakePool(entries);
    for (int report = 0; report < 100; ++report) {
      pool.NoteSample("b", LoadSample{one.mRunning, 0, 4, 1}, kStart);
    }
    const auto choice =
        pool.Pick({"b", "c", "far"}, kWork, kStart + seconds(2));
    REQUIRE(choice);
    CHECK((choice->mSlowdown < 1.5) == one.mIsQuick);
  }
}

TEST_CASE(
    "endpoint pool: an endpoint that must still be full is not probed again") {
  const EndpointMap entries = {{"a", MakeEntry("a", "dc1")}};
  EndpointPool pool = MakePool(entries);
  pool.NoteSample("a", LoadSample{4, 3, 4, 1}, kStart);
  // Four of the seven requests must end before a slot becomes free.
  CHECK(pool.StaleCandidates({}, kWork, 1, kStart + milliseconds(40)).empty());
  CHECK(pool.StaleCandidates({}, kWork, 1, kStart + kWork).size() == 1);
}

TEST_CASE("endpoint pool: only stale reports are probed for") {
  EndpointMap entries = MakeEntries();
  EndpointPool pool = MakePool(entries);
  CHECK(pool.StaleCandidates({}, kWork, 3, kStart).empty());
  const TimePoint later = kStart + milliseconds(50);
  CHECK(pool.StaleCandidates({}, kWork, 3, later).size() == 3);
  CHECK(pool.StaleCandidates({"a", "b"}, kWork, 3, later).size() == 2);
}

TEST_CASE("endpoint pool: probes of a quiet service use few connections") {
  // Among equal endpoints each host keeps to a few of its own choice, since
  // every further one costs a connection.
  constexpr std::size_t kHosts = 60;
  constexpr std::size_t kEndpoints = 20;
  constexpr std::size_t kProbed = 3;
  EndpointMap entries;
  for (std::size_t number = 0; number < kEndpoints; ++number) {
    const std::string id = fmt::format("e{}", number);
    entries.emplace(id, MakeEntry(id, "dc1"));
  }
  std::map<std::string, std::size_t> hostsOf;
  std::mt19937 seeds(1);
  for (std::size_t host = 0; host < kHosts; ++host) {
    EndpointPool pool("dc1", static_cast<std::uint32_t>(seeds()));
    pool.Configure(entries, "service", kStart);
    std::map<std::string, int> probed;
    for (int call = 0; call < 100; ++call) {
      const TimePoint now = kStart + call * seconds(1);
      for (const auto& candidate :
           pool.StaleCandidates({}, kWork, kProbed, now)) {
        ++probed[candidate.mId];
        pool.NoteSample(candidate.mId, LoadSample{0, 0, 4, 1}, now);
      }
    }
    CAPTURE(host);
    CHECK(probed.size() <= 2 * kProbed);
    for (const auto& [id, count] : probed) {
      ++hostsOf[id];
    }
  }
  // The hosts' choices are spread evenly over all endpoints.
  CHECK(hostsOf.size() == kEndpoints);
  constexpr std::size_t kMeanHosts = kHosts * kProbed / kEndpoints;
  for (const auto& entry : hostsOf) {
    CHECK_MESSAGE(entry.second <= 3 * kMeanHosts, entry.first);
  }
}

TEST_CASE(
    "endpoint registry: entries that expire while the store is unreachable") {
  struct Case {
    /** How long after its removal the entry may have expired, as it is known
     * at the removal and later. */
    milliseconds mKeptFor;
    milliseconds mKeptForLater;
    bool mDraining;
    milliseconds mAfter;
    bool mReturns;
    bool mIsListed;
  };
  constexpr milliseconds kNone{0};
  constexpr milliseconds kKept{1800};
  const std::vector<Case> cases = {
      {kNone, kNone, false, kNone, false, false},
      {kKept, kKept, false, kNone, false, true},
      {kKept, kKept, false, milliseconds(1700), false, true},
      {kKept, kKept, false, milliseconds(1900), false, false},
      {kKept, kKept, false, milliseconds(1900), true, true},
      {kKept, kKept, true, kNone, false, false},
      // Another host tells that the store was not away.
      {kKept, kNone, false, milliseconds(100), false, false},
      // The store was away again.
      {kKept, milliseconds(9000), false, milliseconds(1900), false, false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mKeptFor.count());
    CAPTURE(one.mKeptForLater.count());
    CAPTURE(one.mAfter.count());
    EndpointRegistry registry;
    EndpointEntry entry = MakeEntry("a", "dc1");
    entry.mDraining = one.mDraining;
    registry.Put(entry);
    registry.Remove("a", kStart + one.mKeptFor, kStart);
    if (one.mReturns) {
      registry.Put(entry);
    }
    registry.Tick(kStart + one.mKeptForLater, kStart + one.mAfter);
    CHECK(registry.Endpoints()->contains("a") == one.mIsListed);
  }
}

}  // namespace
}  // namespace papayawheel
