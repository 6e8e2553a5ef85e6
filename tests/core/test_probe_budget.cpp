#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>
#include <vector>

#include "core/gateway/probe_budget.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("probe budget: hosts that restart keep to it together") {
  CHECK(rc::check("loads", [] {
    const ProbeBudgetTerms terms{60};
    const std::size_t endpoints = *rc::gen::inRange<std::size_t>(1, 40);
    std::size_t hosts = *rc::gen::inRange<std::size_t>(1, 30);
    std::vector<ProbeBudget> budgets(hosts);
    for (ProbeBudget& budget : budgets) {
      budget.Configure(terms, hosts, endpoints, kStart);
    }
    TimePoint now = kStart;
    double probes = 0;
    double requests = 0;
    double started = static_cast<double>(hosts);
    const auto bursts =
        *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0, 90), rc::gen::inRange(0, 900),
                           rc::gen::arbitrary<bool>()));
    for (const auto& [load, pause, restarts] : bursts) {
      now += milliseconds(pause);
      for (int number = 0; number < load; ++number) {
        const auto host = static_cast<std::size_t>(number * 7 + pause) % hosts;
        budgets[host].NoteRequest(now);
        ++requests;
        probes += static_cast<double>(budgets[host].Take(6, now));
      }
      if (restarts) {
        budgets[0] = ProbeBudget();
        budgets[0].Configure(terms, hosts, endpoints, now);
        ++started;
      }
    }
    const double seconds = std::chrono::duration<double>(now - kStart).count();
    const double bound =
        terms.mPerEndpoint * static_cast<double>(endpoints) / 2;
    const double each = bound / static_cast<double>(hosts);
    constexpr double kBurstSeconds = 4;
    // Half of the bound over a longer time, and the initial budget of each
    // start.
    RC_ASSERT(probes <= bound * seconds + started * (each * kBurstSeconds + 1));
    constexpr double kAtStart = 12;
    RC_ASSERT(probes <= 1.8 * requests + started * kAtStart +
                            0.1 * bound * seconds + 1e-6);
  }));
}

TEST_CASE("probe budget: what it allows") {
  struct Case {
    const char* mWhat;
    double mPerEndpoint;
    std::size_t mHosts;
    int mRequests;
    milliseconds mAfter;
    std::size_t mAllowed;
  };
  const std::vector<Case> cases = {
      {"a host that has just started may probe", 60, 10, 0, milliseconds(0),
       12},
      {"a bound of 0 allows one probe", 0, 10, 5, milliseconds(100), 1},
      {"a small share of the bound", 1, 10, 50, milliseconds(0), 2},
      {"requests earn no more than accumulates", 60, 10, 500, milliseconds(0),
       12},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    ProbeBudget budget;
    budget.Configure(ProbeBudgetTerms{one.mPerEndpoint}, one.mHosts, 10,
                     kStart);
    const TimePoint now = kStart + one.mAfter;
    for (int request = 0; request < one.mRequests; ++request) {
      budget.NoteRequest(now);
    }
    CHECK(budget.Take(100, now) == one.mAllowed);
    CHECK(budget.IsExhausted(now));
    CHECK(budget.Take(1, now) == 0);
  }
}

}  // namespace
}  // namespace papayawheel
