#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "core/gateway/drain_schedule.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("drain schedule: its steps are in order within any grace period") {
  const std::vector<milliseconds> graces = {
      milliseconds(1000), milliseconds(2000), milliseconds(6000),
      milliseconds(60000)};
  const TimePoint start{std::chrono::hours(1)};
  for (const milliseconds grace : graces) {
    CAPTURE(grace.count());
    const DrainSchedule schedule(start, grace);
    CHECK(schedule.RefusesFrom() - start ==
          std::min<Duration>(seconds(3), grace / 2));
    CHECK(schedule.GivesUpAt() > schedule.RefusesFrom());
    // Answers to the last requests need some time to be sent.
    CHECK(schedule.EndsFrom() - schedule.GivesUpAt() >= milliseconds(80));
    CHECK(schedule.EndsAt() - schedule.EndsFrom() >= milliseconds(80));
    CHECK(start + grace - schedule.EndsAt() >= milliseconds(80));
    // Most of the grace period is left for requests.
    CHECK(schedule.GivesUpAt() - start >= grace * 3 / 4 - milliseconds(1));
  }
}

}  // namespace
}  // namespace papayawheel
