#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "core/view/store_availability.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

/** An answer of the store, or a period that another host told of. */
struct Answer {
  std::uint64_t mEra;
  int mFromMs;
  int mUntilMs;
};

TEST_CASE("store availability: since when the store has answered") {
  struct Case {
    const char* mName;
    std::vector<Answer> mAnswers;
    int mFromMs;
    int mUntilMs;
  };
  const std::vector<Case> cases = {
      {"first answer", {{1, 100, 100}}, 100, 100},
      {"regular answers", {{1, 0, 0}, {1, 900, 900}, {1, 3300, 3300}}, 0, 3300},
      {"an answer that took long", {{1, 0, 2400}, {1, 4800, 4800}}, 0, 4800},
      {"the store was away", {{1, 0, 0}, {1, 2600, 2600}}, 2600, 2600},
      {"heard late", {{1, 900, 900}, {1, 0, 0}}, 0, 900},
      {"another host knows longer",
       {{1, 900, 900}, {1, -60000, 800}},
       -60000,
       900},
      {"another host fills the gap",
       {{1, 0, 0}, {1, 5000, 5000}, {1, -60000, 4900}},
       -60000,
       5000},
      {"a period from before the store was away",
       {{1, 0, 0}, {1, 5000, 5000}, {1, -60000, 100}},
       5000,
       5000},
      {"the store was restored", {{1, 0, 0}, {2, 500, 500}}, 500, 500},
      {"a period of an earlier era",
       {{1, 0, 0}, {2, 500, 500}, {1, -60000, 450}},
       500,
       500},
      {"a host that saw the restored store earlier",
       {{1, 0, 0}, {2, 500, 500}, {2, 300, 400}},
       300,
       500},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    StoreAvailability availability;
    for (const Answer& answer : one.mAnswers) {
      availability.NoteAvailable(answer.mEra,
                                 {kStart + milliseconds(answer.mFromMs),
                                  kStart + milliseconds(answer.mUntilMs)});
    }
    REQUIRE(availability.Latest());
    CHECK(availability.Latest()->mFrom == kStart + milliseconds(one.mFromMs));
    CHECK(availability.Latest()->mUntil == kStart + milliseconds(one.mUntilMs));
  }
}

TEST_CASE("store availability: how long a removed endpoint may be used") {
  struct Case {
    const char* mName;
    /** A time before the removal; empty if unknown. */
    std::optional<int> mRemovedAfterMs;
    int mUsableUntilMs;
  };
  // The store has answered since 0 ms.
  const std::vector<Case> cases = {
      {"unknown", std::nullopt, 1800},
      {"during the interruption", -5000, 1800},
      {"soon after the return", 400, 2200},
      {"when all that run are published again", 1500, 2800},
      {"much later", 60000, 2800},
  };
  StoreAvailability availability;
  CHECK(availability.UsableUntil(std::nullopt, kStart) > kStart);
  availability.NoteAvailable(1, {kStart, kStart + milliseconds(100)});
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    std::optional<TimePoint> removedAfter;
    if (one.mRemovedAfterMs) {
      removedAfter = kStart + milliseconds(*one.mRemovedAfterMs);
    }
    const TimePoint until = availability.UsableUntil(removedAfter, kStart);
    CHECK(until == kStart + milliseconds(one.mUsableUntilMs));
  }
}

}  // namespace
}  // namespace papayawheel
