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

/** Reports a lost attempt that was sent 20 ms ago. */
void LoseAttempt(CrashDetector& aDetector, const std::string& aEndpoint,
                 TimePoint aNow) {
  aDetector.NoteLostAttempt(Endpoint(aEndpoint),
                            LostAttempt{7, "r", aNow - milliseconds(20), aNow},
                            aNow);
}

void ReportLiveness(CrashDetector& aDetector, const std::string& aEndpoint,
                    EndpointLiveness aLiveness, TimePoint aNow) {
  aDetector.NoteLiveness(aEndpoint, aLiveness, aNow, aNow);
}

CrashRecord RemoteRecord(std::uint64_t aId, const std::string& aEndpoint,
                         milliseconds aSentAgo, milliseconds aEndedAgo) {
  return CrashRecord{aId,       aId,       Duration(0),         7,
                     aEndpoint, aEndedAgo, aSentAgo - aEndedAgo};
}

TEST_CASE("crash detector: a request is quarantined after two crashes") {
  CrashDetector detector(1);
  TimePoint now = kStart;
  for (const char* const endpoint : {"a", "b"}) {
    CHECK_FALSE(detector.IsQuarantined(7, now));
    now += milliseconds(100);
    LoseAttempt(detector, endpoint, now);
    REQUIRE(detector.TakeHealthChecks(now).size() == 1);
    ReportLiveness(detector, endpoint, EndpointLiveness::Refused,
                   now + milliseconds(2));
    CHECK(detector.IsSuspect(7, now + milliseconds(2)));
  }
  CHECK(detector.IsQuarantined(7, now + milliseconds(2)));
  CHECK_FALSE(detector.IsQuarantined(8, now + milliseconds(2)));
  CHECK(detector.TakeNewRecords().size() == 2);
  CHECK(detector.TakeNewRecords().empty());
  CHECK_FALSE(detector.IsQuarantined(7, now + seconds(61)));
}

TEST_CASE("crash detector: a lost answer of a live endpoint is no crash") {
  CrashDetector detector(1);
  for (const char* const endpoint : {"a", "b", "c"}) {
    LoseAttempt(detector, endpoint, kStart);
    ReportLiveness(detector, endpoint, EndpointLiveness::Alive, kStart);
    ReportLiveness(detector, endpoint, EndpointLiveness::Refused,
                   kStart + milliseconds(100));
    LoseAttempt(detector, endpoint, kStart + milliseconds(200));
    ReportLiveness(detector, endpoint, EndpointLiveness::Alive,
                   kStart + milliseconds(210));
    // The endpoint ends much later, for another reason.
    ReportLiveness(detector, endpoint, EndpointLiveness::Refused,
                   kStart + seconds(5));
  }
  CHECK_FALSE(detector.IsSuspect(7, kStart + seconds(5)));
  CHECK_FALSE(detector.NextHealthCheck());
}

TEST_CASE("crash detector: crashes reported by other hosts count") {
  CrashDetector detector(1);
  const CrashRecord first =
      RemoteRecord(1, "a", milliseconds(90), milliseconds(70));
  detector.NoteRemoteRecord(first, kStart);
  detector.NoteRemoteRecord(first, kStart);
  CHECK_FALSE(detector.IsQuarantined(7, kStart));
  detector.NoteRemoteRecord(
      RemoteRecord(2, "b", milliseconds(50), milliseconds(30)), kStart);
  CHECK(detector.IsQuarantined(7, kStart));
  CHECK(detector.TakeNewRecords().empty());
}

// Guards against crashes that are never counted because the host sends no other
// request to the endpoint.
TEST_CASE(
    "crash detector: every sign that an endpoint ended confirms a crash") {
  struct Case {
    const char* mWhat;
    std::function<void(CrashDetector&, TimePoint)> mAct;
    CrashEvent::Proof mProof;
  };
  const auto published = [](CrashDetector& aDetector, TimePoint aNow,
                            const std::vector<EndpointEntry>& aEntries) {
    EndpointMap map;
    for (const EndpointEntry& entry : aEntries) {
      map.emplace(entry.mId, entry);
    }
    aDetector.NotePublished(map, aNow);
  };
  const std::vector<Case> cases = {
      {"connections refused at once",
       [](CrashDetector& aDetector, TimePoint aNow) {
         ReportLiveness(aDetector, "a", EndpointLiveness::Refused, aNow);
       },
       CrashEvent::Proof::Refused},
      {"no answer first, then connections refused",
       [](CrashDetector& aDetector, TimePoint aNow) {
         ReportLiveness(aDetector, "a", EndpointLiveness::Unknown, aNow);
         ReportLiveness(aDetector, "a", EndpointLiveness::Refused,
                        aNow + seconds(4));
       },
       CrashEvent::Proof::Refused},
      {"another endpoint has its address",
       [](CrashDetector& aDetector, TimePoint aNow) {
         ReportLiveness(aDetector, "a", EndpointLiveness::Replaced,
                        aNow + seconds(2));
       },
       CrashEvent::Proof::Replaced},
      {"no longer published",
       [&](CrashDetector& aDetector, TimePoint aNow) {
         published(aDetector, aNow + seconds(1), {Endpoint("a")});
         published(aDetector, aNow + seconds(6), {Endpoint("b")});
       },
       CrashEvent::Proof::Removed},
      {"restarted under its id before the check, published later",
       [&](CrashDetector& aDetector, TimePoint aNow) {
         ReportLiveness(aDetector, "a", EndpointLiveness::Alive,
                        aNow + seconds(2));
         EndpointEntry restarted = Endpoint("a");
         restarted.mIncarnation = 2;
         published(aDetector, aNow + seconds(3), {restarted});
       },
       CrashEvent::Proof::Restarted},
      {"another host reported its crash",
       [](CrashDetector& aDetector, TimePoint aNow) {
         CrashRecord other =
             RemoteRecord(9, "a", milliseconds(30), milliseconds(10));
         other.mFingerprint = 8;
         aDetector.NoteRemoteRecord(other, aNow);
       },
       CrashEvent::Proof::OtherHost},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    CrashDetector detector(1);
    LoseAttempt(detector, "a", kStart);
    one.mAct(detector, kStart + milliseconds(1));
    CHECK(detector.IsSuspect(7, kStart + seconds(6)));
    const auto events = detector.TakeEvents();
    REQUIRE_FALSE(events.empty());
    CHECK(events.back().mStep == CrashEvent::Step::Confirmed);
    CHECK(events.back().mProof == one.mProof);
  }
}

// Guards against two sequential crashes that count as one: if differences of
// times are rounded, the second attempt may seem to start before the first
// ends.
TEST_CASE(
    "crash detector: a retry starts no sooner than the first attempt ends") {
  constexpr std::chrono::nanoseconds kOddStep{1337};
  for (int step = 0; step < 20; ++step) {
    CrashDetector detector(1);
    const TimePoint first = kStart + kOddStep * step;
    const TimePoint second = first + milliseconds(2) + kOddStep;
    detector.NoteLostAttempt(Endpoint("a"), LostAttempt{7, "r", kStart, first},
                             first);
    detector.NoteLostAttempt(Endpoint("b"), LostAttempt{7, "r", first, second},
                             second);
    ReportLiveness(detector, "a", EndpointLiveness::Refused,
                   second + kOddStep * 7);
    ReportLiveness(detector, "b", EndpointLiveness::Refused,
                   second + kOddStep * 11);
    CHECK(detector.IsQuarantined(7, second + milliseconds(1)));
  }
}

TEST_CASE("crash detector: an unresponsive endpoint is checked again") {
  CrashDetector detector(1);
  LoseAttempt(detector, "a", kStart);
  std::size_t checks = 0;
  TimePoint now = kStart;
  while (const auto next = detector.NextHealthCheck()) {
    now = std::max(now, *next);
    checks += detector.TakeHealthChecks(now).size();
  }
  CHECK(checks >= 5);
  CHECK(checks <= 12);
  CHECK(now <= kStart + seconds(40));
  CHECK(detector.TakeEvents().back().mStep == CrashEvent::Step::Unconfirmed);
  CHECK_FALSE(detector.IsSuspect(7, now));
}

}  // namespace
}  // namespace papayawheel
