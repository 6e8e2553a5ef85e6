#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/core/control_fleet.h"
#include "tests/core/schedule_step.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Act {
  Publish,
  PublishInvalid,
  PlatformUp,
  PlatformDown,
  PlatformStale,
  Kill,
  Restart,
  Pause,
  Resume,
  Partition,
  Heal,
  Wait,
};
constexpr int kActs = 12;

using Step = ScheduleStep<Act>;

void Apply(ControlFleet& aFleet, const Step& aStep) {
  const std::size_t host = aStep.mFirst % aFleet.Hosts();
  using State = ControlFleet::PlatformState;
  switch (aStep.mAct) {
    case Act::Publish:
      aFleet.Publish(true);
      break;
    case Act::PublishInvalid:
      aFleet.Publish(false);
      break;
    case Act::PlatformUp:
      aFleet.SetPlatform(State::Up);
      break;
    case Act::PlatformDown:
      aFleet.SetPlatform(State::Down);
      break;
    case Act::PlatformStale:
      aFleet.SetPlatform(aStep.mFirst % 2 == 0 ? State::Stale : State::Old);
      break;
    case Act::Kill:
      aFleet.Kill(host);
      break;
    case Act::Restart:
      aFleet.Restart(host);
      break;
    case Act::Pause:
      aFleet.SetPaused(host, true);
      break;
    case Act::Resume:
      aFleet.SetPaused(host, false);
      break;
    case Act::Partition:
      aFleet.Partition(1 + aStep.mFirst % 2);
      break;
    case Act::Heal:
      aFleet.Partition(0);
      break;
    case Act::Wait:
      aFleet.Advance(aStep.mTime);
      break;
  }
  aFleet.Advance(milliseconds(100));
}

TEST_CASE("revisions never revert and converge after the faults") {
  CHECK(rc::check("any schedule of faults", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto loss = *rc::gen::element(0, 30);
    const auto steps = *rc::gen::container<std::vector<Step>>(
        GenerateStep<Act>(kActs, 0, 6, milliseconds(4000)));
    ControlFleet fleet(6, 3, seed);
    fleet.SetLoss(loss);
    for (const Step& step : steps) {
      Apply(fleet, step);
      RC_ASSERT(fleet.Violation() == "");
    }
    fleet.SetLoss(0);
    fleet.Partition(0);
    fleet.SetPlatform(ControlFleet::PlatformState::Up);
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      fleet.SetPaused(host, false);
    }
    // Ends with a valid change, since an invalid one never comes into force.
    fleet.Publish(true);
    fleet.Advance(seconds(10));
    RC_ASSERT(fleet.IsInForceEverywhere());
    RC_ASSERT(fleet.Violation() == "");
  }));
}

TEST_CASE("a new host takes no older revision than a reachable peer has") {
  CHECK(rc::check("the platform is old or down when it starts", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto down = *rc::gen::arbitrary<bool>();
    const auto host = *rc::gen::inRange<std::size_t>(0, 6);
    ControlFleet fleet(6, 3, seed);
    fleet.Advance(seconds(5));
    const std::uint64_t old = fleet.LastValid();
    fleet.Publish(true);
    fleet.Advance(seconds(5));
    RC_ASSERT(fleet.IsInForceEverywhere());
    fleet.SetPlatform(down ? ControlFleet::PlatformState::Down
                           : ControlFleet::PlatformState::Old);
    fleet.Restart(host);
    for (int tick = 0; tick < 200; ++tick) {
      fleet.Advance(milliseconds(50));
      RC_ASSERT(!fleet.IsViewFresh(host) || fleet.Revision(host) > old);
    }
    RC_ASSERT(fleet.IsViewFresh(host));
  }));
}

struct PropagationCase {
  const char* mWhat;
  std::size_t mHosts;
  std::size_t mDataCentres;
  double mBytesPerSecond;
  seconds mWithin;
};

TEST_CASE("a change is in force everywhere in time and costs few reads") {
  const std::vector<PropagationCase> table = {
      {"shingle network", 20, 4, 29'000, seconds(2)},
      {"co-operative", 18, 3, 29'000, seconds(2)},
      {"target", 105, 7, 29'000, seconds(10)},
      {"small budget", 20, 4, 4000, seconds(10)},
  };
  for (const PropagationCase& row : table) {
    CAPTURE(row.mWhat);
    ControlFleet fleet(row.mHosts, row.mDataCentres, 1, row.mBytesPerSecond);
    fleet.Advance(seconds(30));
    const std::uint64_t calls = fleet.PlatformCalls();
    fleet.Publish(true);
    fleet.Advance(row.mWithin);
    CHECK(fleet.IsInForceEverywhere());
    fleet.Advance(seconds(120));
    // Two watchers in each data centre, each with one call for the change and
    // one every 30 seconds.
    CHECK(fleet.PlatformCalls() - calls <= row.mDataCentres * 2 * 6);
    std::uint64_t maxBytes = 0;
    for (std::size_t host = 0; host < row.mHosts; ++host) {
      maxBytes = std::max(maxBytes, fleet.Bytes(host));
    }
    const double elapsed = 152;
    MESSAGE(std::string(row.mWhat) << ": maximum bytes per second on one host "
                                   << static_cast<double>(maxBytes) / elapsed);
    // The budget of the first second is available from the start.
    CHECK(static_cast<double>(maxBytes) <= row.mBytesPerSecond * (elapsed + 1));
  }
}

TEST_CASE("a resumed host does not trust its view until others answered") {
  ControlFleet fleet(4, 2, 1);
  fleet.Advance(seconds(5));
  REQUIRE(fleet.IsViewFresh(1));
  fleet.SetPaused(1, true);
  fleet.Advance(seconds(60));
  fleet.SetPlatform(ControlFleet::PlatformState::Down);
  for (std::size_t host : {0, 2, 3}) {
    fleet.Kill(host);
  }
  fleet.SetPaused(1, false);
  for (int tick = 0; tick < 100; ++tick) {
    fleet.Advance(milliseconds(50));
    CHECK_FALSE(fleet.IsViewFresh(1));
  }
  fleet.Restart(2);
  fleet.SetPlatform(ControlFleet::PlatformState::Up);
  fleet.Advance(seconds(5));
  CHECK(fleet.IsViewFresh(1));
}

}  // namespace
}  // namespace papayawheel
