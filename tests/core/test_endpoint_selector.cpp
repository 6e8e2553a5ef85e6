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

/** Ledgers with an endpoint book each, all of them at one full endpoint. */
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

  /** Every host tries as often as it may; the endpoint refuses always. */
  void ProbeAll() {
    for (std::size_t host = 0; host < mFleet.Hosts(); ++host) {
      const ShareLedger* const ledger = mFleet.Ledger(host);
      if (ledger == nullptr) {
        continue;
      }
      EndpointSelector& book = *mSelectors[host];
      if (mHostsSharing[host] != ledger->HostsSharing()) {
        mHostsSharing[host] = ledger->HostsSharing();
        book.Configure(mService, mHostsSharing[host], mFleet.Now());
      }
      book.NoteAttemptStarted("e0");
      book.NoteAttemptEnded("e0", EndpointResult::Shed, LoadReport{4, 0, false},
                            milliseconds(1), mFleet.Now() - seconds(1));
      const std::uint64_t before = book.Probes();
      while (book.Pick({}, mFleet.Now())) {
      }
      SpendTokens(book.Probes() - before);
    }
  }

  [[nodiscard]] bool IsWithinBudget() const { return mTokens > -1e-6; }

 private:
  void SpendTokens(std::uint64_t aProbes) {
    // All hosts together: the rate, and one probe a host at once.
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
  CHECK(rc::check("hosts join, leave, restart, freeze and part", [] {
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
    EndpointSelector book("dc", 1);
    book.Configure(service, 1, now);
    for (const auto& [name, report] :
         {std::pair("e0", row.mFirst), std::pair("e1", row.mSecond)}) {
      book.NoteAttemptStarted(name);
      book.NoteAttemptEnded(name, EndpointResult::Answered, report,
                            milliseconds(4), now);
    }
    CHECK(book.Pick({}, now).value_or("") == row.mPicked);
  }
}

struct IdleServiceCase {
  const char* mWhat;
  LoadReport mLast;
  /** How long a call on this endpoint took and takes. */
  std::chrono::microseconds mTime;
};

TEST_CASE(
    "an idle service calls every endpoint often enough to learn that it "
    "drains") {
  constexpr milliseconds kBetweenCalls(20);
  constexpr std::chrono::microseconds kUsual(4000);
  const std::vector<IdleServiceCase> table = {
      {"it was busy when it last said so", {2, 0, false}, kUsual},
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
    EndpointSelector book("dc", 1);
    book.Configure(service, 4, now);
    for (const Endpoint& endpoint : service.mEndpoints) {
      const bool isOdd = endpoint.mName == "e1";
      book.NoteAttemptStarted(endpoint.mName);
      book.NoteAttemptEnded(endpoint.mName, EndpointResult::Answered,
                            isOdd ? row.mLast : LoadReport{},
                            isOdd ? row.mTime : kUsual, now);
    }
    Duration longest = Duration::zero();
    TimePoint lastCall = now;
    for (int call = 0; call < 1000; ++call) {
      now += kBetweenCalls;
      const std::string picked = book.Pick({}, now).value_or("");
      const bool isOdd = picked == "e1";
      book.NoteAttemptStarted(picked);
      book.NoteAttemptEnded(picked, EndpointResult::Answered, LoadReport{},
                            isOdd ? row.mTime : kUsual, now);
      lastCall = isOdd ? now : lastCall;
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
  EndpointSelector book("dc", 1);
  book.Configure(service, 1, now);
  for (const milliseconds pause :
       {milliseconds(50), milliseconds(100), milliseconds(200)}) {
    book.NoteAttemptStarted("e0");
    book.NoteAttemptEnded("e0", EndpointResult::Lost, std::nullopt,
                          milliseconds(1), now);
    CHECK_FALSE(book.Pick({}, now + pause - milliseconds(1)));
    now += pause;
    CHECK(book.Pick({}, now));
  }
  book.NoteAttemptStarted("e0");
  book.NoteAttemptEnded("e0", EndpointResult::Answered, LoadReport{},
                        milliseconds(4), now);
  book.NoteAttemptStarted("e0");
  book.NoteAttemptEnded("e0", EndpointResult::Lost, std::nullopt,
                        milliseconds(1), now);
  CHECK(book.Pick({}, now + milliseconds(50)));
}

}  // namespace
}  // namespace papayawheel
