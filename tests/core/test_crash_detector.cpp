#include <doctest/doctest.h>

#include <functional>

#include "core/gateway/crash_detector.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

EndpointEntry Endpoint(const std::string& aId) {
  EndpointEntry entry;
  entry.mId = aId;
  entry.mService = "service";
  entry.mAddress = "10.0.0.1:" + aId;
  entry.mIncarnation = 1;
  return entry;
}

/** A request was sent to an endpoint 20 ms ago and its connection has broken.
 */
void LoseAttempt(CrashDetector& aWatch, const std::string& aEndpoint,
                 TimePoint aNow) {
  aWatch.NoteLostAttempt(Endpoint(aEndpoint),
                         LostAttempt{7, "r", aNow - milliseconds(20), aNow},
                         aNow);
}

void ReportLiveness(CrashDetector& aWatch, const std::string& aEndpoint,
                    EndpointSight aSight, TimePoint aNow) {
  aWatch.NoteLiveness(aEndpoint, aSight, aNow, aNow);
}

CrashRecord RemoteRecord(std::uint64_t aId, const std::string& aEndpoint,
                         milliseconds aSentAgo, milliseconds aEndedAgo) {
  return CrashRecord{aId,       aId,       Duration(0),         7,
                     aEndpoint, aEndedAgo, aSentAgo - aEndedAgo};
}

TEST_CASE("crash detector: a request is quarantined after two crashes") {
  CrashDetector watch(1);
  TimePoint now = kStart;
  for (const char* const endpoint : {"a", "b"}) {
    CHECK_FALSE(watch.IsQuarantined(7, now));
    now += milliseconds(100);
    LoseAttempt(watch, endpoint, now);
    REQUIRE(watch.TakeHealthChecks(now).size() == 1);
    ReportLiveness(watch, endpoint, EndpointSight::Nobody,
                   now + milliseconds(2));
    CHECK(watch.IsSuspect(7, now + milliseconds(2)));
  }
  CHECK(watch.IsQuarantined(7, now + milliseconds(2)));
  CHECK_FALSE(watch.IsQuarantined(8, now + milliseconds(2)));
  CHECK(watch.TakeNewRecords().size() == 2);
  CHECK(watch.TakeNewRecords().empty());
  CHECK_FALSE(watch.IsQuarantined(7, now + seconds(61)));
}

TEST_CASE("crash detector: a lost answer of a live endpoint is no crash") {
  CrashDetector watch(1);
  for (const char* const endpoint : {"a", "b", "c"}) {
    LoseAttempt(watch, endpoint, kStart);
    ReportLiveness(watch, endpoint, EndpointSight::Itself, kStart);
    ReportLiveness(watch, endpoint, EndpointSight::Nobody,
                   kStart + milliseconds(100));
    LoseAttempt(watch, endpoint, kStart + milliseconds(200));
    ReportLiveness(watch, endpoint, EndpointSight::Itself,
                   kStart + milliseconds(210));
    // Unreachable only much later, for another reason.
    ReportLiveness(watch, endpoint, EndpointSight::Nobody, kStart + seconds(5));
  }
  CHECK_FALSE(watch.IsSuspect(7, kStart + seconds(5)));
  CHECK_FALSE(watch.NextHealthCheck());
}

TEST_CASE("crash detector: crashes reported by other hosts count") {
  CrashDetector watch(1);
  const CrashRecord first =
      RemoteRecord(1, "a", milliseconds(90), milliseconds(70));
  watch.NoteRemoteRecord(first, kStart);
  watch.NoteRemoteRecord(first, kStart);
  CHECK_FALSE(watch.IsQuarantined(7, kStart));
  watch.NoteRemoteRecord(
      RemoteRecord(2, "b", milliseconds(50), milliseconds(30)), kStart);
  CHECK(watch.IsQuarantined(7, kStart));
  CHECK(watch.TakeNewRecords().empty());
}

// Guards against losses that are never counted, since the host that lost the
// request has no other reason to call the endpoint (BUDGET).
TEST_CASE(
    "crash detector: every sign that an endpoint ended confirms a crash") {
  struct Case {
    const char* mWhat;
    std::function<void(CrashDetector&, TimePoint)> mHappens;
    CrashEvent::Proof mProof;
  };
  const auto published = [](CrashDetector& aWatch, TimePoint aNow,
                            const std::vector<EndpointEntry>& aEntries) {
    EndpointMap map;
    for (const EndpointEntry& entry : aEntries) {
      map.emplace(entry.mId, entry);
    }
    aWatch.NotePublished(map, aNow);
  };
  const std::vector<Case> cases = {
      {"refused at once",
       [](CrashDetector& aWatch, TimePoint aNow) {
         ReportLiveness(aWatch, "a", EndpointSight::Nobody, aNow);
       },
       CrashEvent::Proof::Refused},
      {"dark first, then refused",
       [](CrashDetector& aWatch, TimePoint aNow) {
         ReportLiveness(aWatch, "a", EndpointSight::Unclear, aNow);
         ReportLiveness(aWatch, "a", EndpointSight::Nobody, aNow + seconds(4));
       },
       CrashEvent::Proof::Refused},
      {"another has its address",
       [](CrashDetector& aWatch, TimePoint aNow) {
         ReportLiveness(aWatch, "a", EndpointSight::Another, aNow + seconds(2));
       },
       CrashEvent::Proof::Replaced},
      {"no longer published",
       [&](CrashDetector& aWatch, TimePoint aNow) {
         published(aWatch, aNow + seconds(1), {Endpoint("a")});
         published(aWatch, aNow + seconds(6), {Endpoint("b")});
       },
       CrashEvent::Proof::Removed},
      {"back under its id before it was asked, and published later",
       [&](CrashDetector& aWatch, TimePoint aNow) {
         ReportLiveness(aWatch, "a", EndpointSight::Itself, aNow + seconds(2));
         EndpointEntry anew = Endpoint("a");
         anew.mIncarnation = 2;
         published(aWatch, aNow + seconds(3), {anew});
       },
       CrashEvent::Proof::Restarted},
      {"another host saw it end",
       [](CrashDetector& aWatch, TimePoint aNow) {
         CrashRecord other =
             RemoteRecord(9, "a", milliseconds(30), milliseconds(10));
         other.mFingerprint = 8;
         aWatch.NoteRemoteRecord(other, aNow);
       },
       CrashEvent::Proof::OtherHost},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    CrashDetector watch(1);
    LoseAttempt(watch, "a", kStart);
    one.mHappens(watch, kStart + milliseconds(1));
    CHECK(watch.IsSuspect(7, kStart + seconds(6)));
    const auto notes = watch.TakeEvents();
    REQUIRE_FALSE(notes.empty());
    CHECK(notes.back().mStep == CrashEvent::Step::Confirmed);
    CHECK(notes.back().mProof == one.mProof);
  }
}

// Guards against a second crash that counts as one with the first, since times
// were rounded at different moments.
TEST_CASE(
    "crash detector: a retry starts no sooner than the first attempt ends") {
  constexpr std::chrono::nanoseconds kOdd{1337};
  for (int step = 0; step < 20; ++step) {
    CrashDetector watch(1);
    const TimePoint first = kStart + kOdd * step;
    const TimePoint second = first + milliseconds(2) + kOdd;
    watch.NoteLostAttempt(Endpoint("a"), LostAttempt{7, "r", kStart, first},
                          first);
    watch.NoteLostAttempt(Endpoint("b"), LostAttempt{7, "r", first, second},
                          second);
    ReportLiveness(watch, "a", EndpointSight::Nobody, second + kOdd * 7);
    ReportLiveness(watch, "b", EndpointSight::Nobody, second + kOdd * 11);
    CHECK(watch.IsQuarantined(7, second + milliseconds(1)));
  }
}

TEST_CASE("crash detector: an unresponsive endpoint is checked again") {
  CrashDetector watch(1);
  LoseAttempt(watch, "a", kStart);
  std::size_t asked = 0;
  TimePoint now = kStart;
  while (const auto next = watch.NextHealthCheck()) {
    now = std::max(now, *next);
    asked += watch.TakeHealthChecks(now).size();
  }
  CHECK(asked >= 5);
  CHECK(asked <= 12);
  CHECK(now <= kStart + seconds(40));
  CHECK(watch.TakeEvents().back().mStep == CrashEvent::Step::Unproved);
  CHECK_FALSE(watch.IsSuspect(7, now));
}

}  // namespace
}  // namespace papayawheel
