#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "core/gossip/front_directory.h"
#include "core/gossip/front_selection.h"
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
  hosts[0].mState = MemberState::Leaving;
  hosts[3].mState = MemberState::Starting;
  const auto fronts = SelectFronts(hosts, "dc0", 4);
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
  const auto before = SelectFronts(hosts, "dc1", 4);
  std::erase_if(hosts, [&before](const MemberRecord& aHost) {
    return aHost.mFrontAddress == before[1];
  });
  const auto after = SelectFronts(hosts, "dc1", 4);
  CHECK(after[0] == before[0]);
  CHECK(after[1] == before[2]);
  CHECK(after[2] == before[3]);
}

TEST_CASE("fronts: what the directory keeps follows the hosts") {
  constexpr std::size_t kMost = 4;
  std::vector<MemberRecord> others = MakeHosts(18, 3);
  const MemberRecord self = others.back();
  others.pop_back();
  FrontDirectory directory(self, kMost);
  bool serves = false;
  struct Step {
    std::string mWhat;
    std::function<void()> mChange;
  };
  const std::vector<Step> steps = {
      {"no host is known", [] {}},
      {"others are", [&] { directory.SetOthers(others); }},
      {"this host serves",
       [&] {
         serves = true;
         directory.SetServing(serves);
       }},
      {"one leaves",
       [&] {
         others[2].mState = MemberState::Leaving;
         directory.SetOthers(others);
       }},
      {"this host stops",
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
    // Asked twice, the second answer is the one that was kept.
    for (const char* const centre :
         {"dc0", "dc1", "dc2", "dc0", "dc1", "dc2", "elsewhere"}) {
      CHECK(directory.Select(centre) == SelectFronts(hosts, centre, kMost));
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
    std::size_t left = one.mNear;
    for (MemberRecord& host : hosts) {
      if (host.mDataCentre == "dc0" && left == 0) {
        host.mState = MemberState::Leaving;
      } else if (host.mDataCentre == "dc0") {
        --left;
      }
    }
    CHECK((SelectFronts(hosts, "dc0", 4).size() > 2) == one.mOthersToo);
  }
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
    if (IsReader(self, ChooseReaders(self, others))) {
      readers.push_back(self.mName);
      for (const std::string& other : readers) {
        const bool sameCentre = std::stoi(other.substr(1)) % 4 ==
                                std::stoi(self.mName.substr(1)) % 4;
        CHECK((other == self.mName || !sameCentre));
      }
    }
  }
  CHECK(readers.size() == kReaders);
  for (MemberRecord& host : hosts) {
    host.mStoreFailing =
        std::find(readers.begin(), readers.end(), host.mName) != readers.end();
  }
  for (const std::string& failing : readers) {
    const auto self = std::find_if(hosts.begin(), hosts.end(),
                                   [&failing](const MemberRecord& aHost) {
                                     return aHost.mName == failing;
                                   });
    CHECK_FALSE(IsReader(*self, ChooseReaders(*self, hosts)));
  }
}

}  // namespace
}  // namespace papayawheel
