#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/gossip/front_directory.h"
#include "core/gossip/front_selection.h"
#include "core/gossip/load_meter.h"
#include "core/view/reader_ranking.h"

namespace papayawheel {
namespace {

std::vector<MemberRecord> MakeHosts(std::size_t aCount, std::size_t aCentres) {
  std::vector<MemberRecord> hosts;
  for (std::size_t number = 0; number < aCount; ++number) {
    MemberRecord host;
    host.mName = "h" + std::to_string(number);
    host.mDataCentre = "dc" + std::to_string(number % aCentres);
    host.mFrontAddress = host.mName + ":80";
    host.mState = MemberState::Ready;
    hosts.push_back(host);
  }
  return hosts;
}

TEST_CASE("fronts: few of the callers' data centre and only ready ones") {
  std::vector<MemberRecord> hosts = MakeHosts(18, 3);
  hosts[0].mState = MemberState::Draining;
  hosts[3].mState = MemberState::Starting;
  const auto fronts = SelectFronts(hosts, "dc0", HostLoad{});
  CHECK(fronts == std::vector<std::string>(fronts.begin(), fronts.end()));
  CHECK(fronts.size() == 4);
  for (const std::string& front : fronts) {
    CHECK(front != "h0:80");
    CHECK(front != "h3:80");
    CHECK(std::stoi(front.substr(1)) % 3 == 0);
  }
}

TEST_CASE("fronts: a host that fails leaves the others where they are") {
  std::vector<MemberRecord> hosts = MakeHosts(18, 3);
  const auto before = SelectFronts(hosts, "dc1", HostLoad{});
  std::erase_if(hosts, [&before](const MemberRecord& aHost) {
    return aHost.mFrontAddress == before[1];
  });
  const auto after = SelectFronts(hosts, "dc1", HostLoad{});
  CHECK(after[0] == before[0]);
  CHECK(after[1] == before[2]);
  CHECK(after[2] == before[3]);
}

TEST_CASE("fronts: the cached selection follows the hosts") {
  std::vector<MemberRecord> others = MakeHosts(18, 3);
  const MemberRecord self = others.back();
  others.pop_back();
  FrontDirectory directory(self);
  const TimePoint now{std::chrono::hours(1)};
  bool serves = false;
  struct Step {
    std::string mWhat;
    std::function<void()> mChange;
  };
  const std::vector<Step> steps = {
      {"no host is known", [] {}},
      {"other hosts are known", [&] { directory.SetOthers(others); }},
      {"this host serves",
       [&] {
         serves = true;
         directory.SetServing(serves);
       }},
      {"one drains",
       [&] {
         others[2].mState = MemberState::Draining;
         directory.SetOthers(others);
       }},
      {"this host stops serving",
       [&] {
         serves = false;
         directory.SetServing(serves);
       }},
      {"a data centre is lost", [&] {
         std::erase_if(others, [](const MemberRecord& aHost) {
           return aHost.mDataCentre == "dc1";
         });
         directory.SetOthers(others);
       }}};
  for (const Step& step : steps) {
    CAPTURE(step.mWhat);
    step.mChange();
    std::vector<MemberRecord> hosts = others;
    if (step.mWhat == "no host is known") {
      hosts.clear();
    }
    if (serves) {
      hosts.push_back(self);
    }
    // The second answer for a data centre comes from the cache.
    for (const char* const centre :
         {"dc0", "dc1", "dc2", "dc0", "dc1", "dc2", "elsewhere"}) {
      CHECK(directory.Select(centre, now) ==
            SelectFronts(hosts, centre, HostLoad{}));
    }
  }
}

TEST_CASE("fronts: other data centres help where one has too few hosts") {
  struct Case {
    std::size_t mNear;
    bool mOthersToo;
  };
  for (const Case& one : {Case{0, true}, Case{1, true}, Case{2, false}}) {
    std::vector<MemberRecord> hosts = MakeHosts(9, 3);
    std::size_t remaining = one.mNear;
    for (MemberRecord& host : hosts) {
      if (host.mDataCentre == "dc0" && remaining == 0) {
        host.mState = MemberState::Draining;
      } else if (host.mDataCentre == "dc0") {
        --remaining;
      }
    }
    CHECK((SelectFronts(hosts, "dc0", HostLoad{}).size() > 2) ==
          one.mOthersToo);
  }
}

struct Sizes {
  std::size_t mCount;
  HostCapacity mCapacity;
};

std::vector<MemberRecord> MakeSized(const std::vector<Sizes>& aSizes) {
  std::vector<MemberRecord> hosts;
  for (const Sizes& size : aSizes) {
    for (std::size_t number = 0; number < size.mCount; ++number) {
      MemberRecord host;
      host.mName = "h" + std::to_string(hosts.size());
      host.mDataCentre = "dc0";
      host.mFrontAddress = host.mName;
      host.mState = MemberState::Ready;
      host.mCapacity = size.mCapacity;
      hosts.push_back(host);
    }
  }
  return hosts;
}

const HostCapacity kLarge{0.5, 25e6};
const HostCapacity kSmall{0.07, 1.25e6};

TEST_CASE("fronts: as many as the load needs and the strongest first") {
  struct Case {
    const char* mWhat;
    std::vector<Sizes> mHosts;
    HostLoad mDemand;
    std::size_t mExpectedFronts;
  };
  const std::vector<Case> cases = {
      {"no load", {{40, kSmall}}, {}, 4},
      {"two large hosts suffice", {{2, kLarge}, {40, kSmall}}, {200, 2e6}, 2},
      {"there is no large host", {{40, kSmall}}, {200, 2e6}, 9},
      {"more requests than four hosts can serve",
       {{40, kSmall}},
       {560, 1e5},
       9},
      {"downloads that fill small links", {{40, kSmall}}, {20, 3.6e6}, 13},
      {"the large hosts do not suffice",
       {{2, kLarge}, {60, kSmall}},
       {200, 13e6},
       42},
      {"more than all hosts can serve", {{10, kSmall}}, {9000, 90e6}, 10},
      {"one large host is not enough",
       {{1, kLarge}, {9, kSmall}},
       {10, 1e5},
       2},
      {"capacity is not known", {{40, {}}}, {9000, 90e6}, 4},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    const auto fronts = SelectFronts(MakeSized(one.mHosts), "dc0", one.mDemand);
    CHECK(fronts.size() == one.mExpectedFronts);
  }
}

TEST_CASE("fronts: no host exceeds its target while an equal one is unused") {
  CHECK(rc::check("fleets", [] {
    const std::vector<Sizes> sizes = {
        {*rc::gen::inRange<std::size_t>(0, 4), kLarge},
        {*rc::gen::inRange<std::size_t>(2, 50), kSmall}};
    const auto hosts = MakeSized(sizes);
    const HostLoad demand{
        static_cast<double>(*rc::gen::inRange(0, 3000)),
        static_cast<double>(*rc::gen::inRange(0, 60'000'000))};
    const auto fronts = SelectFronts(hosts, "dc0", demand);
    RC_ASSERT(fronts.size() >= 2U);
    RC_ASSERT(fronts.size() <= 64U);
    const double share = 1 / static_cast<double>(fronts.size());
    constexpr double kTargetUtilization = 0.25;
    constexpr double kCoreSecondsPerRequest = 250e-6;
    for (const MemberRecord& host : hosts) {
      const bool selected = std::find(fronts.begin(), fronts.end(),
                                      host.mFrontAddress) != fronts.end();
      const bool loaded = demand.mRequests * share * kCoreSecondsPerRequest >
                              kTargetUtilization * host.mCapacity.mCores ||
                          demand.mLinkBytes * share >
                              kTargetUtilization * host.mCapacity.mLinkBytes;
      if (selected && loaded) {
        // Allowed only if all unselected hosts have less capacity, because
        // selecting them, too, would load them as much.
        const bool unusedHaveLess = std::all_of(
            hosts.begin(), hosts.end(), [&](const MemberRecord& aOther) {
              const bool unused =
                  std::find(fronts.begin(), fronts.end(),
                            aOther.mFrontAddress) == fronts.end();
              return !unused || aOther.mCapacity.mCores < host.mCapacity.mCores;
            });
        RC_ASSERT(unusedHaveLess);
      }
    }
  }));
}

TEST_CASE("fronts: a burst on one data centre adds hosts and keeps them") {
  constexpr std::size_t kHosts = 30;
  std::vector<MemberRecord> others = MakeSized({{kHosts, kSmall}});
  const MemberRecord self = others.back();
  others.pop_back();
  FrontDirectory directory(self);
  directory.SetServing(true);
  TimePoint now{std::chrono::hours(1)};
  struct Step {
    const char* mWhat;
    /** Requests per second of the whole data centre. */
    double mRequests;
    std::chrono::seconds mFor;
    std::size_t mMinFronts;
    std::size_t mMaxFronts;
  };
  const std::vector<Step> steps = {
      {"quiet", 40, std::chrono::seconds(5), 4, 4},
      {"a burst", 700, std::chrono::seconds(2), 10, 13},
      {"just after it", 40, std::chrono::seconds(2), 9, 13},
      {"long after it", 40, std::chrono::seconds(60), 4, 4}};
  std::vector<std::string> before;
  for (const Step& step : steps) {
    CAPTURE(step.mWhat);
    for (MemberRecord& host : others) {
      host.mLoad.mRequests = step.mRequests / kHosts;
    }
    directory.SetLoad(HostLoad{step.mRequests / kHosts, 0});
    directory.SetOthers(others);
    auto fronts = directory.Select("dc0", now);
    // Hosts that were selected before stay, so their callers need not move.
    for (std::size_t index = 0; index < std::min(before.size(), fronts.size());
         ++index) {
      CHECK(fronts[index] == before[index]);
    }
    now += step.mFor;
    directory.SetOthers(others);
    fronts = directory.Select("dc0", now);
    CHECK(fronts.size() >= step.mMinFronts);
    CHECK(fronts.size() <= step.mMaxFronts);
    before = fronts;
  }
}

TEST_CASE("fronts: ten of fifty hosts that fail leave the others selected") {
  std::vector<MemberRecord> hosts = MakeSized({{2, kLarge}, {48, kSmall}});
  const HostLoad demand{300, 14e6};
  const auto before = SelectFronts(hosts, "dc0", demand);
  std::vector<std::string> killed;
  for (std::size_t index = 0; index < 10; ++index) {
    killed.push_back(before[index * 2]);
  }
  std::erase_if(hosts, [&killed](const MemberRecord& aHost) {
    return std::find(killed.begin(), killed.end(), aHost.mFrontAddress) !=
           killed.end();
  });
  const auto after = SelectFronts(hosts, "dc0", demand);
  for (const std::string& front : before) {
    const bool alive =
        std::find(killed.begin(), killed.end(), front) == killed.end();
    const bool selected =
        std::find(after.begin(), after.end(), front) != after.end();
    CHECK(alive == selected);
  }
}

TEST_CASE("load meter: counts become rates per second") {
  LoadMeter meter;
  TimePoint now{std::chrono::hours(1)};
  REQUIRE(meter.Measure(LoadMeter::Totals{10, 1000, 500}, now));
  now += std::chrono::milliseconds(100);
  CHECK_FALSE(meter.Measure(LoadMeter::Totals{20, 1000, 500}, now));
  now += std::chrono::milliseconds(900);
  const auto load = meter.Measure(LoadMeter::Totals{60, 9000, 1500}, now);
  REQUIRE(load);
  CHECK(load->mRequests == doctest::Approx(50));
  CHECK(load->mLinkBytes == doctest::Approx(9000));
}

TEST_CASE(
    "readers: from different data centres and those that fail come last") {
  std::vector<MemberRecord> hosts = MakeHosts(18, 4);
  std::vector<std::string> readers;
  for (const MemberRecord& self : hosts) {
    std::vector<MemberRecord> others = hosts;
    std::erase_if(others, [&self](const MemberRecord& aOther) {
      return aOther.mName == self.mName;
    });
    if (DutyOf(self, RankReaders(self, others)).mRole != ReaderRole::None) {
      readers.push_back(self.mName);
      for (const std::string& other : readers) {
        const bool sameCentre = std::stoi(other.substr(1)) % 4 ==
                                std::stoi(self.mName.substr(1)) % 4;
        CHECK((other == self.mName || !sameCentre));
      }
    }
  }
  CHECK(readers.size() == kReaderCount);
  for (MemberRecord& host : hosts) {
    host.mStoreFailing =
        std::find(readers.begin(), readers.end(), host.mName) != readers.end();
  }
  for (const std::string& failing : readers) {
    const auto self = std::find_if(hosts.begin(), hosts.end(),
                                   [&failing](const MemberRecord& aHost) {
                                     return aHost.mName == failing;
                                   });
    CHECK(DutyOf(*self, RankReaders(*self, hosts)).mRole == ReaderRole::None);
  }
}

TEST_CASE("fronts: a few hosts find out whether a lost service is reached") {
  std::vector<MemberRecord> hosts = MakeHosts(18, 4);
  std::size_t checking = 0;
  for (const bool isLost : {false, true}) {
    for (const std::size_t lost : {0, 4, 8}) {
      hosts[lost].mReach.mLost.clear();
      if (isLost) {
        hosts[lost].mReach.mLost.insert("service");
      }
    }
    checking = 0;
    for (const MemberRecord& self : hosts) {
      std::vector<MemberRecord> others = hosts;
      std::erase_if(others, [&self](const MemberRecord& aHost) {
        return aHost.mName == self.mName;
      });
      const bool checks = ServicesToCheck(self, others).contains("service");
      checking += checks && self.mReach.mLost.empty() ? 1 : 0;
    }
    CHECK(checking == (isLost ? 4 : 0));
  }
}

// Guards against hosts that lost their paths to endpoints and that callers go
// on being sent to; and against hosts that are left out because a service is
// down.
TEST_CASE("fronts: a host that lost a service which others reach is left out") {
  struct Case {
    std::string mWhat;
    /** Hosts that have lost the service, and hosts that reach it. */
    std::set<std::size_t> mLost;
    std::set<std::size_t> mReached;
    bool mLeavesOut;
  };
  const std::vector<Case> cases = {
      {"nobody lost it", {}, {}, false},
      {"a few hosts", {0, 4, 8}, {1, 2}, true},
      {"a whole data centre", {0, 4, 8, 12, 16}, {1, 2}, true},
      {"nobody reaches it", {0, 4, 8}, {}, false},
      {"the only one that reaches it is draining", {0, 4, 8}, {3}, false},
      {"all hosts have lost it",
       {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17},
       {},
       false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    std::vector<MemberRecord> hosts = MakeHosts(18, 4);
    hosts[3].mState = MemberState::Draining;
    const auto before = SelectFronts(hosts, "dc0", HostLoad{});
    for (std::size_t number = 0; number < hosts.size(); ++number) {
      ServiceReach& reach = hosts[number].mReach;
      reach.mLost = one.mLost.contains(number)
                        ? std::set<std::string>{"service"}
                        : std::set<std::string>{};
      reach.mReached = one.mReached.contains(number)
                           ? std::set<std::string>{"service"}
                           : std::set<std::string>{};
    }
    const auto after = SelectFronts(hosts, "dc0", HostLoad{});
    CHECK_FALSE(after.empty());
    if (!one.mLeavesOut) {
      CHECK(after == before);
      continue;
    }
    for (const std::size_t lost : one.mLost) {
      CHECK(std::find(after.begin(), after.end(), hosts[lost].mFrontAddress) ==
            after.end());
    }
  }
}

}  // namespace
}  // namespace papayawheel
