#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "core/gateway/crash_ledger.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kRequest = 7;
const TimePoint kStart{std::chrono::hours(1)};

/** An attempt, in milliseconds after kStart; answered if it has no endpoint,
 * lost otherwise. */
struct Attempt {
  const char* mEndpoint;
  int mSent;
  int mEnded;
};

CrashRecord RecordOf(std::uint64_t aId, const Attempt& aAttempt,
                     TimePoint aNow) {
  CrashRecord record;
  record.mId = aId;
  record.mOrigin = aId;
  record.mFingerprint = kRequest;
  record.mEndpoint = aAttempt.mEndpoint;
  record.mEndedAgo = std::chrono::duration_cast<Duration>(
      aNow - kStart - milliseconds(aAttempt.mEnded));
  record.mAttemptDuration = milliseconds(aAttempt.mEnded - aAttempt.mSent);
  return record;
}

// Guards against quarantines of requests whose endpoints failed for another
// reason, such as the failure of a rack.
TEST_CASE("crash ledger: only sequential crashes count against a request") {
  struct Case {
    const char* mWhat;
    std::vector<Attempt> mAttempts;
    std::size_t mCrashes;
  };
  const std::vector<Case> cases = {
      {"sequential", {{"a", 0, 20}, {"b", 20, 40}}, 2},
      {"on one endpoint that restarted", {{"a", 0, 20}, {"a", 3000, 3020}}, 2},
      {"copies on endpoints that failed together",
       {{"a", 0, 500}, {"b", 200, 500}, {"c", 300, 510}},
       1},
      {"copies on one endpoint, from two hosts",
       {{"a", 0, 500}, {"a", 100, 500}},
       1},
      {"answered in between", {{"a", 0, 20}, {"", 30, 60}, {"b", 70, 90}}, 1},
      {"answered after both", {{"a", 0, 20}, {"b", 20, 40}, {"", 50, 80}}, 0},
      {"answered by a copy that was sent earlier",
       {{"a", 10, 20}, {"b", 20, 40}, {"", 0, 80}},
       2},
      {"expired", {{"a", -62000, -61000}, {"b", 0, 40}}, 1},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    const TimePoint now = kStart + seconds(4);
    CrashLedger ledger;
    std::uint64_t id = 0;
    for (const Attempt& attempt : one.mAttempts) {
      ledger.Add(RecordOf(++id, attempt, now), now);
    }
    CHECK(ledger.CountCrashes(kRequest, now) == one.mCrashes);
    CHECK((ledger.QuarantineRemaining(kRequest, now) > Duration::zero()) ==
          (one.mCrashes >= 2));
    CHECK(ledger.CountCrashes(kRequest + 1, now) == 0);
  }
}

// Guards against a request that may crash an endpoint each minute because its
// caller keeps retrying.
TEST_CASE("crash ledger: each crash after a quarantine doubles the next one") {
  CrashLedger ledger;
  TimePoint now = kStart;
  std::vector<seconds> quarantines;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    ledger.Add(RecordOf(id, Attempt{"e", 0, 10}, kStart + milliseconds(20)),
               now);
    const Duration left = ledger.QuarantineRemaining(kRequest, now);
    quarantines.push_back(std::chrono::ceil<seconds>(left));
    now += left + milliseconds(20);
  }
  CHECK(quarantines == std::vector<seconds>{seconds(0), seconds(60),
                                            seconds(120), seconds(240),
                                            seconds(480), seconds(960)});
}

// Guards against a quarantine that other hosts miss: when the second of two
// records arrives faster than the first, the crashes seem to be concurrent.
TEST_CASE(
    "crash ledger: records of one host keep their order despite network "
    "delays") {
  for (const int delay : {0, 4, 400}) {
    CAPTURE(delay);
    CrashRecord first = RecordOf(1, Attempt{"a", 0, 20}, kStart + seconds(1));
    CrashRecord second = RecordOf(2, Attempt{"b", 20, 30}, kStart + seconds(1));
    second.mOrigin = first.mOrigin;
    first.mOriginTime = milliseconds(20);
    second.mOriginTime = milliseconds(30);
    CrashLedger ledger;
    ledger.Add(first, kStart + seconds(1) + milliseconds(delay));
    ledger.Add(second, kStart + seconds(1));
    CHECK(ledger.CountCrashes(kRequest, kStart + seconds(2)) == 2);
  }
}

TEST_CASE(
    "crash ledger: hosts that receive the same records in any order agree") {
  const bool held = rc::check("orders", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    const TimePoint now = kStart + seconds(30);
    std::vector<CrashRecord> records;
    for (std::size_t id = 1; id <= count; ++id) {
      const int sent = *rc::gen::inRange(0, 29000);
      const int ended = sent + *rc::gen::inRange(1, 1000);
      const bool answered = *rc::gen::inRange(0, 5) == 0;
      records.push_back(
          RecordOf(id, Attempt{answered ? "" : "e", sent, ended}, now));
    }
    std::vector<CrashRecord> others = records;
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(others[i], others[*rc::gen::inRange<std::size_t>(0, count)]);
    }
    others.insert(others.end(), records.begin(), records.end());
    CrashLedger first;
    CrashLedger second;
    for (const CrashRecord& record : records) {
      RC_ASSERT(first.Add(record, now));
    }
    for (const CrashRecord& record : others) {
      second.Add(record, now);
    }
    for (const seconds later : {seconds(0), seconds(45), seconds(3000)}) {
      const TimePoint then = now + later;
      RC_ASSERT(first.CountCrashes(kRequest, then) ==
                second.CountCrashes(kRequest, then));
      RC_ASSERT(first.QuarantineRemaining(kRequest, then) ==
                second.QuarantineRemaining(kRequest, then));
      RC_ASSERT(first.Digest(then) == second.Digest(then));
    }
    CrashLedger third;
    for (const CrashRecord& record : first.RecordsToShare(now + seconds(5))) {
      third.Add(record, now + seconds(5));
    }
    RC_ASSERT(third.Digest(now + seconds(6)) == first.Digest(now + seconds(6)));
  });
  CHECK(held);
}

TEST_CASE("crash ledger: its memory is bounded") {
  CrashLedger ledger;
  constexpr std::uint64_t kCount = 10'000;
  constexpr std::size_t kMaxRequests = 4096;
  for (std::uint64_t id = 1; id <= kCount; ++id) {
    ledger.Add(CrashRecord{id, id, Duration(0), id, "e", milliseconds(10),
                           milliseconds(10)},
               kStart);
    ledger.Add(CrashRecord{kCount + id, kCount + id, Duration(0), kRequest, "e",
                           milliseconds(id), milliseconds(1)},
               kStart + milliseconds(kCount));
  }
  CHECK(ledger.Size() <= kMaxRequests);
  CHECK(ledger.QuarantineRemaining(kRequest, kStart) > Duration::zero());
  // Only records of the quarantined request have the longer retention time.
  ledger.RemoveExpired(kStart + seconds(90));
  CHECK(ledger.Size() == 1);
  ledger.RemoveExpired(kStart + seconds(4000));
  CHECK(ledger.Size() == 0);
  CHECK_FALSE(ledger.Add(
      CrashRecord{1, 1, Duration(0), 5, "e", seconds(3690), seconds(10)},
      kStart));
}

}  // namespace
}  // namespace papayawheel
