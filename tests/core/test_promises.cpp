// The longest path of each promise: the sum of all its steps, one after the
// other, against the bound of the smallest deployment of that size.

#include <doctest/doctest.h>

#include <bit>
#include <numeric>
#include <string>
#include <vector>

#include "core/view/reading_turns.h"
#include "servers/gateway_settings.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

struct Step {
  std::string mWhat;
  Duration mTakes;
};

struct Case {
  std::size_t mHosts;
  std::size_t mDataCentres;
  milliseconds mBound;
};

const std::vector<Case> kCases = {
    {18, 4, milliseconds(2000)},  {20, 3, milliseconds(2000)},
    {153, 4, milliseconds(2500)}, {219, 4, milliseconds(2500)},
    {311, 6, milliseconds(3000)}, {1000, 6, milliseconds(3000)},
};

/** One host tells another one, which pulls the change and tells it on, with
 * half of 0.07 of a core each. */
constexpr milliseconds kHop{45};
/** Interval between two datagrams from hosts that know a change. */
constexpr milliseconds kGossipInterval{100};
constexpr milliseconds kStoreAnswer{50};
/** With more other hosts, changes are passed on in several hops. */
constexpr std::size_t kMaxDirectFleet = 40;

std::size_t HopsOf(const Case& aCase) {
  const std::size_t near = aCase.mHosts / aCase.mDataCentres;
  // To other data centres, and within one to distances 1, 2, 4 and so on.
  return aCase.mHosts <= kMaxDirectFleet ? 1 : 1 + std::bit_width(near);
}

// Guards against a chain of timeouts that are short enough each, but not
// together: all readers are turned away, the host with the last turn is the
// first one that the store serves, and a pull from it hangs.
TEST_CASE("promises: the steps until a change is known fit into its bound") {
  for (const Case& one : kCases) {
    const std::vector<Step> steps = {
        {"the last confirmation grows too old", kMaxConfirmationAge},
        {"the last host waits for its turn", TurnOf(one.mHosts)},
        {"its control thread runs late", kMaxReadInterval},
        {"the store answers", kStoreAnswer},
        {"a pull hangs, until another host is asked",
         kMaxPullWait + kGossipInterval},
        {"the change is passed on", HopsOf(one) * kHop},
    };
    const Duration sum = std::accumulate(
        steps.begin(), steps.end(), Duration::zero(),
        [](Duration aSum, const Step& aStep) { return aSum + aStep.mTakes; });
    CAPTURE(one.mHosts);
    CHECK(sum <= one.mBound);
  }
}

TEST_CASE("promises: the turns of a fleet grow with its logarithm") {
  CHECK(TurnOf(0) == Duration::zero());
  for (std::size_t rank = 4; rank < 2000; rank *= 2) {
    CAPTURE(rank);
    CHECK(TurnOf(2 * rank) - TurnOf(rank) <= kDeputyStep);
  }
  CHECK(TurnOf(1U << 20U) == kMaxTurn);
}

}  // namespace
}  // namespace papayawheel
