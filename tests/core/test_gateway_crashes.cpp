#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/core/gateway_harness.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Answers probes of endpoints that have not crashed until each queued call is
 * sent or given up. */
void DrainQueue(GatewayHarness& aHarness) {
  for (int round = 0; round < 6; ++round) {
    aHarness.AnswerProbes(true);
    aHarness.Advance(milliseconds(15));
  }
}

/** Endpoints on which a call is running. */
std::vector<std::string> EndpointsOf(const GatewayHarness& aHarness,
                                     CallId aCall) {
  std::vector<std::string> endpoints;
  for (const AttemptId running : aHarness.Running()) {
    const auto& attempt = aHarness.Attempts().at(running);
    if (attempt.mCall == aCall) {
      endpoints.push_back(attempt.mEndpoint);
    }
  }
  return endpoints;
}

// Guards against a request that crashes one endpoint after another because its
// caller keeps retrying.
TEST_CASE("gateway: the second crash quarantines a request") {
  for (const char* const host :
       {GatewayHarness::kSafeHost, GatewayHarness::kOnceHost}) {
    CAPTURE(std::string(host));
    GatewayHarness harness(12);
    std::size_t crashes = 0;
    CallId last = 0;
    for (int round = 0; round < 10; ++round) {
      last = harness.SendRequestTo(host, "/bad");
      DrainQueue(harness);
      while (!harness.Running().empty()) {
        harness.Crash(
            {harness.Attempts().at(harness.Running().front()).mEndpoint});
        ++crashes;
        DrainQueue(harness);
      }
      const CallId other =
          harness.SendRequestTo(host, "/good" + std::to_string(round));
      DrainQueue(harness);
      CHECK(harness.Running().size() == 1);
      harness.End(0, AttemptResult::Answered);
      CHECK(harness.Answers().at(other).mResponse != nullptr);
      harness.Advance(seconds(1));
    }
    CHECK(crashes == 2);
    const GatewayAnswer& answer = harness.Answers().at(last);
    CHECK(answer.mError == ErrorKind::Quarantined);
    CHECK(answer.mRetryAfter > seconds(40));
  }
}

// Guards against a request that is quarantined while it waits in the queue and
// is sent nevertheless.
TEST_CASE(
    "gateway: a request that is quarantined while it is queued is not sent") {
  GatewayHarness harness(3);
  const CallId waiting =
      harness.SendRequestTo(GatewayHarness::kSafeHost, "/bad");
  REQUIRE(harness.Running().empty());
  const CrashRecord first{1,
                          1,
                          Duration(0),
                          harness.FingerprintOf(waiting),
                          "x1",
                          milliseconds(30),
                          milliseconds(10)};
  const CrashRecord second{2,
                           2,
                           Duration(0),
                           harness.FingerprintOf(waiting),
                           "x2",
                           milliseconds(10),
                           milliseconds(10)};
  harness.Engine().NoteRemoteCrash(first, harness.Time().Now());
  harness.Engine().NoteRemoteCrash(second, harness.Time().Now());
  DrainQueue(harness);
  CHECK(harness.Attempts().empty());
  CHECK(harness.Answers().at(waiting).mError == ErrorKind::Quarantined);
}

// Guards against requests that are quarantined because their endpoints failed
// at the same time for another reason.
TEST_CASE(
    "gateway: requests on endpoints that crash together are not quarantined") {
  constexpr std::size_t kCalls = 20;
  GatewayHarness harness(8);
  std::vector<std::string> targets;
  for (std::size_t call = 0; call < kCalls; ++call) {
    targets.push_back("/" + std::to_string(call));
    harness.SendRequestTo(GatewayHarness::kSafeHost, targets.back());
  }
  DrainQueue(harness);
  // Long enough for hedges to be sent.
  harness.Advance(milliseconds(250));
  DrainQueue(harness);
  harness.Crash({"e0", "e1", "e2"});
  DrainQueue(harness);
  std::size_t suspects = 0;
  for (const CrashEvent& note : harness.Engine().TakeCrashEvents()) {
    suspects += note.mStep == CrashEvent::Step::Confirmed ? 1 : 0;
  }
  CHECK(suspects > 0);
  for (const std::string& target : targets) {
    const CallId again =
        harness.SendRequestTo(GatewayHarness::kSafeHost, target);
    DrainQueue(harness);
    const auto answer = harness.Answers().find(again);
    const bool quarantined = answer != harness.Answers().end() &&
                             answer->second.mError == ErrorKind::Quarantined;
    CHECK_FALSE(quarantined);
  }
}

// Guards against harmless requests that are quarantined: they lose an endpoint
// to another request, are retried on the same endpoint as that one and lose it
// too.
TEST_CASE("gateway: suspect requests go to different endpoints") {
  GatewayHarness harness(6);
  std::vector<CallId> calls;
  while (calls.size() < 12) {
    calls.push_back(harness.SendRequest(true));
  }
  DrainQueue(harness);
  const std::string crashed = EndpointsOf(harness, calls.front()).front();
  std::vector<CallId> lost;
  for (const CallId call : calls) {
    const auto endpoints = EndpointsOf(harness, call);
    if (endpoints == std::vector<std::string>{crashed}) {
      lost.push_back(call);
    }
  }
  REQUIRE(lost.size() >= 2);
  harness.Crash({crashed});
  DrainQueue(harness);
  std::set<std::string> now;
  for (const CallId call : lost) {
    for (const std::string& endpoint : EndpointsOf(harness, call)) {
      CHECK(now.insert(endpoint).second);
    }
  }
  CHECK(now.size() >= std::min<std::size_t>(lost.size(), 5));
}

}  // namespace
}  // namespace papayawheel
