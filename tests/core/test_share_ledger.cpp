#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "tests/core/ledger_fleet.h"
#include "tests/core/schedule_step.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Act {
  Call,
  CallAll,
  CallEverywhere,
  Exchange,
  ExchangeAll,
  Kill,
  Restart,
  Pause,
  Resume,
  Cut,
  Heal,
  HostLeaving,
  HostLive,
  LowerContract,
  RaiseContract,
  Learn,
  LearnAll,
  Wait,
};
constexpr int kActs = 18;

/** Extra weight of waits, so that leases expire within a schedule. */
constexpr int kMoreWaits = 5;

using Step = ScheduleStep<Act>;

void Apply(LedgerFleet& aFleet, const Step& aStep, bool aChangeContracts) {
  const std::size_t first = aStep.mFirst % aFleet.Hosts();
  const std::size_t second = aStep.mSecond % aFleet.Hosts();
  const milliseconds length = aStep.mTime % 1000 + milliseconds(1);
  switch (aStep.mAct) {
    case Act::Call:
      aFleet.Call(first, length);
      break;
    case Act::CallAll:
      aFleet.CallAll(first, length);
      break;
    case Act::CallEverywhere:
      for (std::size_t host = 0; host < aFleet.Hosts(); ++host) {
        aFleet.CallAll(host, length);
      }
      break;
    case Act::Exchange:
      aFleet.Exchange(first, second, aStep.mTime % 900);
      break;
    case Act::ExchangeAll:
      aFleet.ExchangeAll();
      break;
    case Act::Kill:
      aFleet.Kill(first);
      break;
    case Act::Restart:
      aFleet.Restart(first);
      break;
    case Act::Pause:
      aFleet.SetPaused(first, true);
      break;
    case Act::Resume:
      aFleet.SetPaused(first, false);
      break;
    case Act::Cut:
      aFleet.SetCut(first, second, true);
      break;
    case Act::Heal:
      aFleet.SetCut(first, second, false);
      break;
    case Act::HostLeaving:
      aFleet.PublishHostState(first, NodeState::Leaving);
      break;
    case Act::HostLive:
      aFleet.PublishHostState(first, NodeState::Live);
      break;
    case Act::LowerContract:
      if (aChangeContracts) {
        aFleet.PublishContract(SampleContract(20, 6, 4));
      }
      break;
    case Act::RaiseContract:
      if (aChangeContracts) {
        aFleet.PublishContract(SampleContract(100, 20, 10));
      }
      break;
    case Act::Learn:
      aFleet.Learn(first);
      break;
    case Act::LearnAll:
      for (std::size_t host = 0; host < aFleet.Hosts(); ++host) {
        aFleet.Learn(host);
      }
      break;
    case Act::Wait:
      aFleet.Advance(aStep.mTime);
      break;
  }
  // Some time passes after each step, and after a third of the steps callers
  // use all the quota that is left.
  aFleet.Advance(milliseconds(aStep.mTime.count() % 40));
  if (aStep.mTime.count() % 3 == 0) {
    for (std::size_t host = 0; host < aFleet.Hosts(); ++host) {
      aFleet.CallAll(host, milliseconds(900));
    }
  }
}

void CheckSchedule(std::size_t aHosts, double aRate,
                   const std::vector<Step>& aSteps, bool aChangeContracts) {
  LedgerFleet fleet(aHosts, SampleContract(aRate));
  fleet.Advance(seconds(6));
  fleet.ExchangeAll();
  for (const Step& step : aSteps) {
    Apply(fleet, step, aChangeContracts);
    RC_ASSERT(fleet.Violation().empty());
  }
}

TEST_CASE("hosts together never admit more than the contract") {
  CHECK(rc::check("any schedule of faults and host lists", [] {
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 7);
    const auto steps = *rc::gen::container<std::vector<Step>>(
        GenerateStep<Act>(kActs, kMoreWaits, 8, milliseconds(6000)));
    // At a low rate hardly any tokens are refilled, so tokens that were created
    // by mistake become visible.
    const auto rate = *rc::gen::element(2.0, 100.0);
    CheckSchedule(hosts, rate, steps, false);
  }));
}

TEST_CASE("hosts together never admit more than the largest contract") {
  CHECK(rc::check("any schedule that also changes the contract", [] {
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 7);
    const auto steps = *rc::gen::container<std::vector<Step>>(
        GenerateStep<Act>(kActs, kMoreWaits, 8, milliseconds(6000)));
    CheckSchedule(hosts, 100, steps, true);
  }));
}

struct RegressionSchedule {
  const char* mWhat;
  std::size_t mHosts;
  std::vector<Step> mSteps;
};

TEST_CASE("schedules that once broke the contract keep it") {
  const std::vector<RegressionSchedule> schedules = {
      {"calls of a dead host still ran after its share had moved to another "
       "host",
       2,
       {{Act::Call, 0, 0, milliseconds(40)},
        {Act::HostLeaving, 0, 0, milliseconds(1)},
        {Act::Kill, 0, 0, milliseconds(1)},
        {Act::LearnAll, 7, 0, milliseconds(1)},
        {Act::ExchangeAll, 0, 0, milliseconds(1)},
        {Act::CallAll, 3, 0, milliseconds(1)}}},
      {"a host's own calls on a taken-over share still ran after the "
       "revision had converged",
       3,
       {{Act::Kill, 4, 0, milliseconds(1)},
        {Act::HostLeaving, 0, 0, milliseconds(1)},
        {Act::Kill, 0, 0, milliseconds(1)},
        {Act::ExchangeAll, 0, 0, milliseconds(1)},
        {Act::Wait, 0, 0, milliseconds(980)},
        {Act::Call, 2, 0, milliseconds(120)},
        {Act::LearnAll, 0, 0, milliseconds(1)},
        {Act::Call, 0, 0, milliseconds(106)},
        {Act::Call, 0, 0, milliseconds(276)},
        {Act::Call, 0, 0, milliseconds(437)},
        {Act::CallEverywhere, 0, 0, milliseconds(1)}}},
  };
  for (const RegressionSchedule& schedule : schedules) {
    CAPTURE(schedule.mWhat);
    LedgerFleet fleet(schedule.mHosts, SampleContract());
    fleet.Advance(seconds(6));
    fleet.ExchangeAll();
    for (const Step& step : schedule.mSteps) {
      Apply(fleet, step, false);
    }
    CHECK(fleet.Violation().empty());
  }
}

TEST_CASE("shares add up to the contract") {
  CHECK(rc::check("any contract and number of hosts", [] {
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 40);
    const auto burst = *rc::gen::inRange<std::uint32_t>(1, 500);
    const auto concurrency = *rc::gen::inRange<std::uint32_t>(1, 500);
    const Contract contract = SampleContract(77, burst, concurrency);
    const Configuration configuration = SampleConfiguration(hosts, 1, contract);
    const ShareSplit split = SplitContract(contract, configuration.mHosts);
    Share sum;
    for (const auto& [name, share] : split.mShares) {
      RC_ASSERT(share.mBurst >= 1U);
      RC_ASSERT(share.mConcurrency >= 1U);
      sum.mRatePerSecond += share.mRatePerSecond;
      sum.mBurst += share.mBurst;
      sum.mConcurrency += share.mConcurrency;
    }
    RC_ASSERT(std::abs(sum.mRatePerSecond - 77) < 1e-9);
    RC_ASSERT(sum.mBurst == burst);
    RC_ASSERT(sum.mConcurrency == concurrency);
  }));
}

TEST_CASE("a refused host's share is used by one successor after a while") {
  LedgerFleet fleet(4, SampleContract());
  fleet.Advance(seconds(6));
  fleet.ExchangeAll();
  fleet.Kill(0);
  double rate = 0;
  for (int round = 0; round < 8; ++round) {
    fleet.ExchangeAll();
    fleet.Advance(milliseconds(500));
  }
  const std::uint64_t before = fleet.Admitted();
  for (int round = 0; round < 500; ++round) {
    fleet.ExchangeAll();
    for (std::size_t host = 1; host < 4; ++host) {
      fleet.CallAll(host, milliseconds(1));
    }
    fleet.Advance(milliseconds(20));
  }
  rate = static_cast<double>(fleet.Admitted() - before) / 10;
  CHECK(fleet.Violation().empty());
  // The contract allows 100 calls per second, whether or not host 0 had a
  // share.
  CHECK(rate >= 95);
}

TEST_CASE("a partition does not stop hosts from using their own shares") {
  LedgerFleet fleet(6, SampleContract());
  fleet.Advance(seconds(6));
  fleet.ExchangeAll();
  for (std::size_t left = 0; left < 3; ++left) {
    for (std::size_t right = 3; right < 6; ++right) {
      fleet.SetCut(left, right, true);
    }
  }
  fleet.Advance(seconds(3600));
  for (int round = 0; round < 500; ++round) {
    fleet.ExchangeAll();
    for (std::size_t host = 0; host < 6; ++host) {
      fleet.CallAll(host, milliseconds(1));
    }
    fleet.Advance(milliseconds(20));
  }
  CHECK(fleet.Violation().empty());
  CHECK(fleet.Admitted() >= 950);
}

TEST_CASE("a raised contract counts at once although a host is cut off") {
  LedgerFleet fleet(4, SampleContract(20, 20, 10));
  fleet.Advance(seconds(6));
  fleet.ExchangeAll();
  for (std::size_t host = 1; host < 4; ++host) {
    fleet.SetCut(0, host, true);
  }
  const double before = [&] {
    double sum = 0;
    for (std::size_t host = 1; host < 4; ++host) {
      sum += fleet.Ledger(host)->EffectiveShare("roofers").mRatePerSecond;
    }
    return sum;
  }();
  fleet.PublishContract(SampleContract(200, 20, 10));
  double after = 0;
  for (std::size_t host = 1; host < 4; ++host) {
    fleet.Learn(host);
    after += fleet.Ledger(host)->EffectiveShare("roofers").mRatePerSecond;
  }
  CHECK(after == doctest::Approx(before * 10));
}

}  // namespace
}  // namespace papayawheel
