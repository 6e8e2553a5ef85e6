#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

#include "core/gateway/fleet_retry_budget.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("retry budget: the sum over hosts stays within it in every window") {
  CHECK(rc::check("loads", [] {
    const RetryBudgetTerms terms{0.2, 75, seconds(10)};
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(1, 30);
    std::vector<FleetRetryBudget> budgets(hosts);
    for (FleetRetryBudget& budget : budgets) {
      budget.Configure(terms, hosts);
    }
    TimePoint now{std::chrono::hours(1)};
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    const auto bursts = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 60), rc::gen::inRange(0, 4000)));
    for (const auto& [load, pause] : bursts) {
      now += milliseconds(pause);
      for (int number = 0; number < load; ++number) {
        const auto host = static_cast<std::size_t>(number * 7 + pause) % hosts;
        budgets[host].NoteRequest(now);
        requests.push_back(now);
        while (budgets[host].TryTake(0, now)) {
          retries.push_back(now);
        }
      }
      for (auto* const times : {&requests, &retries}) {
        while (!times->empty() && now - times->front() >= terms.mWindow) {
          times->pop_front();
        }
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                terms.mRatio * static_cast<double>(requests.size()) +
                    terms.mSlack);
    }
  }));
}

TEST_CASE("retry budget: a reserve stays for those who may use it") {
  FleetRetryBudget budget;
  budget.Configure(RetryBudgetTerms{0, 10, seconds(10)}, 1);
  const TimePoint now{std::chrono::hours(1)};
  int taken = 0;
  while (budget.TryTake(0.5, now)) {
    ++taken;
  }
  CHECK(taken == 4);
  CHECK(budget.TryTake(0, now));
  CHECK(budget.Remaining(now + seconds(10)) == doctest::Approx(8));
}

}  // namespace
}  // namespace papayawheel
