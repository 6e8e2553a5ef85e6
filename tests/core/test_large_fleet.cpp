#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "tests/core/gossip_fleet.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time within which every host that the store serves must know a change, by
 * the size of the fleet: the bounds of the deployments of this size. */
constexpr milliseconds kBound219{2500};
constexpr milliseconds kBound311{3000};

/** Half of the processor of the smallest hosts; callers use the rest. */
constexpr double kSmallHostCores = 0.07 / 2;
constexpr double kLargeHostCores = 0.5 / 2;
/** Rates of their links. */
constexpr double kSmallLinkBytes = 10e6 / 8;
constexpr double kLargeLinkBytes = 200e6 / 8;
/** Of each data centre, so many hosts are large. */
constexpr std::size_t kLargeHosts = 2;

struct Size {
  std::size_t mHosts;
  std::size_t mDataCentres;
  std::size_t mEndpoints;
  milliseconds mBound;
};

const std::vector<Size> kSizes = {{219, 4, 381, kBound219},
                                  {311, 6, 540, kBound311}};

/** A fleet of small hosts that has just started and learns of its endpoints. */
class LargeFleet {
 public:
  LargeFleet(const Size& aSize, std::uint32_t aSeed)
      : mSize(aSize),
        mFleet(aSize.mHosts, aSize.mDataCentres, aSeed),
        mRandom(aSeed) {
    mFleet.SetResources([&aSize](std::size_t aHost) {
      const bool isLarge = aHost / aSize.mDataCentres < kLargeHosts;
      return isLarge ? HostResources{kLargeHostCores, kLargeLinkBytes}
                     : HostResources{kSmallHostCores, kSmallLinkBytes};
    });
    mFleet.Run(kLead);
  }

  GossipFleet& Fleet() { return mFleet; }

  /** Runs while endpoints publish themselves one after the other. */
  void Join(milliseconds aTime) {
    const auto until = mElapsed + aTime;
    while (mElapsed < until) {
      mElapsed += kStep;
      mFleet.Run(kStep);
      ChangeLoads();
      const auto due = std::min<std::size_t>(
          mSize.mEndpoints, mSize.mEndpoints * mElapsed / kJoinTime);
      for (; mJoined < due; ++mJoined) {
        mFleet.Write(fmt::format("endpoint{}", mJoined), std::string(250, 'e'));
      }
    }
  }

  /** Hosts that the store turns away: those that read it, and of the others a
   * part. */
  std::vector<std::size_t> ReadersAnd(std::size_t aOneOf) {
    std::vector<std::size_t> hosts = mFleet.Readers();
    for (std::size_t host = 0; aOneOf > 0 && host < mFleet.Size();
         host += aOneOf) {
      hosts.push_back(host);
    }
    return hosts;
  }

 private:
  /** Each host measures its load about once in a second. */
  void ChangeLoads() {
    std::bernoulli_distribution measures(kStep /
                                         std::chrono::duration<double>(1));
    std::uniform_real_distribution<double> requests(0, kMaxRequests);
    for (std::size_t host = 0; host < mFleet.Size(); ++host) {
      if (measures(mRandom)) {
        const double rate = requests(mRandom);
        mFleet.SetLoad(host, HostLoad{rate, rate * kBytesPerRequest});
      }
    }
  }

  /** Time between the start of the hosts and that of the endpoints. */
  static constexpr seconds kLead{10};
  /** Time in which all endpoints join. */
  static constexpr milliseconds kJoinTime{4000};
  static constexpr milliseconds kStep{20};
  /** Most requests a second of one host, and their size. */
  static constexpr double kMaxRequests = 10;
  static constexpr double kBytesPerRequest = 5000;

  Size mSize;
  GossipFleet mFleet;
  std::mt19937 mRandom;
  std::size_t mJoined = 0;
  milliseconds mElapsed{0};
};

// Guards against control traffic that feeds itself on hosts with little
// processor: a host that is late asks the readers and reads the store by
// itself, which makes all others later, and datagrams that wait in its socket
// confirm an old view.
TEST_CASE("large fleet: a change is known in time while endpoints join") {
  for (const Size& size : kSizes) {
    for (std::uint32_t seed = 50; seed < 52; ++seed) {
      CAPTURE(size.mHosts);
      CAPTURE(seed);
      LargeFleet fleet(size, seed);
      fleet.Join(milliseconds(1200));
      const std::uint64_t revision = fleet.Fleet().Publish(4000);
      fleet.Join(size.mBound);
      CHECK(fleet.Fleet().TimeUntilKnown(revision, milliseconds(0), {}));
    }
  }
}

// Guards against a chain of timeouts, each short alone, whose sum exceeds the
// bound when the store turns away the hosts that read it for the others.
TEST_CASE("large fleet: a change is known in time with readers turned away") {
  struct Case {
    std::string mWhat;
    StoreFault mFault;
    /** One of so many other hosts is turned away, too; 0 for none. */
    std::size_t mOneOf;
  };
  const std::vector<Case> cases = {
      {"the readers get no answer", StoreFault::Silent, 0},
      {"a third gets no answer", StoreFault::Silent, 3},
      {"a third is refused: busy or too many calls", StoreFault::Refuses, 3},
      {"a third has its connections reset", StoreFault::Resets, 3},
  };
  for (const Size& size : kSizes) {
    for (const Case& one : cases) {
      for (const int beforeMs : {0, 170, 1000}) {
        CAPTURE(size.mHosts);
        CAPTURE(one.mWhat);
        CAPTURE(beforeMs);
        LargeFleet fleet(size, 60 + static_cast<std::uint32_t>(beforeMs));
        fleet.Join(milliseconds(2500));
        const auto away = fleet.ReadersAnd(one.mOneOf);
        for (const std::size_t host : away) {
          fleet.Fleet().TurnAway(host, one.mFault);
        }
        fleet.Join(milliseconds(beforeMs));
        const std::uint64_t revision = fleet.Fleet().Publish(4000);
        fleet.Join(size.mBound);
        CHECK(fleet.Fleet().TimeUntilKnown(revision, milliseconds(0), {}));
      }
    }
  }
}

}  // namespace
}  // namespace papayawheel
