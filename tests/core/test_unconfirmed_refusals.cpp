// Endpoints that answer with a status which tells the caller that the request
// was not run, without stating so.

#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "tests/core/gateway_harness.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** One end of an attempt. */
struct End {
  AttemptResult mResult;
  int mStatus;
};

// A refusal that an earlier attempt left must not be given to the caller when
// the last attempt fails: the request has run.
TEST_CASE("gateway: an unconfirmed refusal is not kept for the caller") {
  struct Case {
    const char* mName;
    std::vector<End> mEnds;
    int mAnswer;
  };
  const std::vector<Case> cases = {
      {"refused twice",
       {{AttemptResult::Answered, 503}, {AttemptResult::Answered, 429}},
       502},
      {"the retry is not executed",
       {{AttemptResult::Answered, 503}, {AttemptResult::NotExecuted, 0}},
       502},
      {"the retry is not connected",
       {{AttemptResult::Answered, 503}, {AttemptResult::NotConnected, 0}},
       0},
      {"the retry is lost",
       {{AttemptResult::Answered, 503}, {AttemptResult::Lost, 0}},
       502},
      {"the retry fails",
       {{AttemptResult::Answered, 503}, {AttemptResult::Answered, 500}},
       500},
      {"an earlier failure is kept",
       {{AttemptResult::Answered, 500}, {AttemptResult::Answered, 503}},
       500},
      {"the retry succeeds",
       {{AttemptResult::Answered, 503}, {AttemptResult::Answered, 200}},
       200},
      {"the first attempt is not executed",
       {{AttemptResult::NotExecuted, 0}, {AttemptResult::Answered, 503}},
       502},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    GatewayHarness harness(3);
    const CallId call = harness.SendRequest(true);
    for (const End& end : one.mEnds) {
      harness.AnswerProbes(true);
      harness.End(0, end.mResult, end.mStatus);
    }
    harness.AnswerProbes(true);
    const auto answer = harness.Answers().find(call);
    const bool isAnswered = answer != harness.Answers().end();
    CHECK(isAnswered == (one.mAnswer != 0));
    if (isAnswered) {
      CHECK(StatusOf(answer->second) == one.mAnswer);
    }
  }
}

// The retry after a refusal that proves nothing may find no endpoint, no budget
// or no time; the refusal that the gateway then gives would be false.
TEST_CASE("gateway: no refusal of its own after an unconfirmed one") {
  struct Case {
    const char* mName;
    std::size_t mEndpoints;
    double mRetrySlack;
    bool mIdempotent;
    std::function<void(GatewayHarness&)> mAfterwards;
  };
  const std::vector<Case> cases = {
      {"no other endpoint", 1, 1000, true, [](GatewayHarness&) {}},
      {"no retry budget", 3, 0, true, [](GatewayHarness&) {}},
      {"the endpoints are removed", 3, 1000, true,
       [](GatewayHarness& aHarness) { aHarness.Publish({}); }},
      {"the data centre is evacuated", 3, 1000, true,
       [](GatewayHarness& aHarness) { aHarness.SetEvacuated(true); }},
      {"the host stops", 3, 1000, true,
       [](GatewayHarness& aHarness) { aHarness.EndAllCalls(); }},
      {"the deadline passes", 3, 1000, true, [](GatewayHarness&) {}},
      {"at most once", 3, 1000, false, [](GatewayHarness&) {}},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    GatewayHarness harness(one.mEndpoints, one.mRetrySlack);
    const CallId call = harness.SendRequest(one.mIdempotent);
    harness.AnswerProbes(true);
    harness.End(0, AttemptResult::Answered, 503);
    one.mAfterwards(harness);
    harness.Advance(milliseconds(1300));
    REQUIRE(harness.Answers().contains(call));
    CHECK_FALSE(IsRefusal(harness.Answers().at(call)));
  }
}

}  // namespace
}  // namespace papayawheel
