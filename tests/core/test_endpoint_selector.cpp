#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

#include "core/routing/endpoint_selector.h"
#include "tests/core/ledger_fleet.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kProbesPerSecond = 20;

/** Hosts with a share ledger and an endpoint selector each, which all send to
 * the same full endpoint. */
class ProbingFleet {
 public:
  explicit ProbingFleet(std::size_t aHosts) : mFleet(aHosts, SampleContract()) {
    mService.mName = "orders";
    mService.mSlotsPerEndpoint = 4;
    mService.mProbesPerSecond = kProbesPerSecond;
    mService.mEndpoints = {
        Endpoint{"e0", "10.0.1.1:2000", "dc0", NodeState::Live}};
    for (std::size_t host = 0; host < aHosts; ++host) {
      Restart(host);
    }
  }

  LedgerFleet& Fleet() { return mFleet; }

  void Restart(std::size_t aHost) {
    mSelectors.resize(mFleet.Hosts());
    mSelectors[aHost] = std::make_unique<EndpointSelector>("dc0", 1);
    mHostsSharing.resize(mFleet.Hosts(), 0);
    mHostsSharing[aHost] = SIZE_MAX;
  }

  /** Every host probes as often as it may; the endpoint refuses every call. */
  void ProbeAll() {
    for (std::size_t host = 0; host < mFleet.Hosts(); ++host) {
      const ShareLedger* const ledger = mFleet.Ledger(host);
      if (ledger == nullptr) {
        continue;
      }
      EndpointSelector& selector = *mSelectors[host];
      if (mHostsSharing[host] != ledger->HostsSharing()) {
        mHostsSharing[host] = ledger->HostsSharing();
        selector.Configure(mService, mHostsSharing[host], mFleet.Now());
      }
      selector.NoteAttemptStarted("e0");
      selector.NoteAttemptEnded("e0", EndpointResult::Shed,
                                LoadReport{4, 0, false}, milliseconds(1),
                                mFleet.Now() - seconds(1));
      const std::uint64_t before = selector.Probes();
      while (selector.Pick({}, mFleet.Now())) {
      }
      SpendTokens(selector.Probes() - before);
    }
  }

  [[nodiscard]] bool IsWithinBudget() const { return mTokens > -1e-6; }

 private:
  void SpendTokens(std::uint64_t aProbes) {
    // Budget of all hosts together: the rate, with a burst of one per host.
    const auto burst = static_cast<double>(mFleet.Hosts());
    const std::chrono::duration<double> elapsed = mFleet.Now() - mAt;
    mTokens = std::min(burst, mTokens + elapsed.count() * kProbesPerSecond);
    mAt = mFleet.Now();
    mTokens -= static_cast<double>(aProbes);
  }

  LedgerFleet mFleet;
  Service mService;
  std::vector<std::unique_ptr<EndpointSelector>> mSelectors;
  std::vector<std::size_t> mHostsSharing;
  TimePoint mAt = mFleet.Now();
  double mTokens = static_cast<double>(mFleet.Hosts());
};

TEST_CASE("probes never exceed their budget over all hosts") {
  CHECK(rc::check("hosts join, leave, restart, pause and get cut off", [] {
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 7);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 60)));
    ProbingFleet probing(hosts);
    LedgerFleet& fleet = probing.Fleet();
    fleet.Advance(seconds(6));
    fleet.ExchangeAll();
    for (const auto& [act, number] : steps) {
      const std::size_t host = static_cast<std::size_t>(number) % hosts;
      switch (act) {
        case 0:
          fleet.Restart(host);
          probing.Restart(host);
          break;
        case 1:
          fleet.PublishHostState(
              host, number % 2 == 0 ? NodeState::Leaving : NodeState::Live);
          break;
        case 2:
          fleet.Learn(host);
          break;
        case 3:
          fleet.ExchangeAll();
          break;
        case 4:
          fleet.SetPaused(host, number % 2 == 0);
          break;
        case 5:
          fleet.SetCut(host, static_cast<std::size_t>(number / 7) % hosts,
                       number % 3 != 0);
          break;
        default:
          fleet.Advance(milliseconds(number * 100));
          break;
      }
      fleet.Advance(milliseconds(10));
      probing.ProbeAll();
      RC_ASSERT(probing.IsWithinBudget());
    }
  }));
}

struct PickCase {
  const char* mWhat;
  LoadReport mFirst;
  LoadReport mSecond;
  const char* mPicked;
};

TEST_CASE("the endpoint with more free slots is picked and none that drains") {
  const std::vector<PickCase> table = {
      {"less load", {3, 0, false}, {1, 0, false}, "e1"},
      {"a queue", {2, 3, false}, {3, 0, false}, "e1"},
      {"draining", {0, 0, true}, {3, 0, false}, "e1"},
      {"both full", {4, 0, false}, {4, 0, false}, ""},
  };
  Service service;
  service.mSlotsPerEndpoint = 4;
  service.mEndpoints = {Endpoint{"e0", "10.0.0.1:1", "dc", NodeState::Live},
                        Endpoint{"e1", "10.0.0.1:2", "dc", NodeState::Live}};
  const TimePoint now{seconds(100)};
  for (const PickCase& row : table) {
    CAPTURE(row.mWhat);
    EndpointSelector selector("dc", 1);
    selector.Configure(service, 1, now);
    for (const auto& [name, report] :
         {std::pair("e0", row.mFirst), std::pair("e1", row.mSecond)}) {
      selector.NoteAttemptStarted(name);
      selector.NoteAttemptEnded(name, EndpointResult::Answered, report,
                                milliseconds(4), now);
    }
    CHECK(selector.Pick({}, now).value_or("") == row.mPicked);
  }
}

struct IdleServiceCase {
  const char* mWhat;
  LoadReport mLast;
  /** Duration of every call to this endpoint. */
  std::chrono::microseconds mTime;
};

TEST_CASE(
    "an idle service calls every endpoint often enough to learn that it "
    "drains") {
  constexpr milliseconds kBetweenCalls(20);
  constexpr std::chrono::microseconds kUsualTime(4000);
  const std::vector<IdleServiceCase> table = {
      {"it was busy at its last report", {2, 0, false}, kUsualTime},
      {"its calls take a little longer",
       {0, 0, false},
       std::chrono::microseconds(4400)},
  };
  Service service;
  service.mSlotsPerEndpoint = 4;
  for (int number = 0; number < 4; ++number) {
    service.mEndpoints.push_back(Endpoint{
        "e" + std::to_string(number), "10.0.0.1:" + std::to_string(number + 1),
        "dc", NodeState::Live});
  }
  for (const IdleServiceCase& row : table) {
    CAPTURE(row.mWhat);
    TimePoint now{seconds(100)};
    EndpointSelector selector("dc", 1);
    selector.Configure(service, 4, now);
    for (const Endpoint& endpoint : service.mEndpoints) {
      const bool isObserved = endpoint.mName == "e1";
      selector.NoteAttemptStarted(endpoint.mName);
      selector.NoteAttemptEnded(endpoint.mName, EndpointResult::Answered,
                                isObserved ? row.mLast : LoadReport{},
                                isObserved ? row.mTime : kUsualTime, now);
    }
    Duration longest = Duration::zero();
    TimePoint lastCall = now;
    for (int call = 0; call < 1000; ++call) {
      now += kBetweenCalls;
      const std::string picked = selector.Pick({}, now).value_or("");
      const bool isObserved = picked == "e1";
      selector.NoteAttemptStarted(picked);
      selector.NoteAttemptEnded(picked, EndpointResult::Answered, LoadReport{},
                                isObserved ? row.mTime : kUsualTime, now);
      lastCall = isObserved ? now : lastCall;
      longest = std::max<Duration>(
          longest, std::chrono::duration_cast<Duration>(now - lastCall));
    }
    CHECK(longest < seconds(1));
  }
}

TEST_CASE("the pause of an endpoint doubles with each failure in a row") {
  Service service;
  service.mSlotsPerEndpoint = 4;
  service.mEndpoints = {Endpoint{"e0", "10.0.0.1:1", "dc", NodeState::Live}};
  TimePoint now{seconds(100)};
  EndpointSelector selector("dc", 1);
  selector.Configure(service, 1, now);
  for (const milliseconds pause :
       {milliseconds(50), milliseconds(100), milliseconds(200)}) {
    selector.NoteAttemptStarted("e0");
    selector.NoteAttemptEnded("e0", EndpointResult::Lost, std::nullopt,
                              milliseconds(1), now);
    CHECK_FALSE(selector.Pick({}, now + pause - milliseconds(1)));
    now += pause;
    CHECK(selector.Pick({}, now));
  }
  selector.NoteAttemptStarted("e0");
  selector.NoteAttemptEnded("e0", EndpointResult::Answered, LoadReport{},
                            milliseconds(4), now);
  selector.NoteAttemptStarted("e0");
  selector.NoteAttemptEnded("e0", EndpointResult::Lost, std::nullopt,
                            milliseconds(1), now);
  CHECK(selector.Pick({}, now + milliseconds(50)));
}

}  // namespace
}  // namespace papayawheel
