#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "tests/core/gateway_harness.h"
#include "tests/core/schedule_step.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

enum class Act {
  SendSafe,
  SendOnce,
  Answer,
  Fail,
  RefuseUnconfirmed,
  NotExecuted,
  NotConnected,
  Lost,
  Garble,
  AnswerProbes,
  LoseProbes,
  DisconnectCaller,
  SetViewStale,
  SetViewFresh,
  Shrink,
  Grow,
  Wait,
};
constexpr int kActs = 17;
constexpr int kWaitWeight = 3;
constexpr std::size_t kNumbers = 40;

using Step = ScheduleStep<Act>;

void Apply(GatewayHarness& aHarness, const Step& aStep) {
  switch (aStep.mAct) {
    case Act::SendSafe:
      aHarness.SendRequest(true);
      break;
    case Act::SendOnce:
      aHarness.SendRequest(false);
      break;
    case Act::Answer:
      aHarness.End(aStep.mFirst, AttemptResult::Answered);
      break;
    case Act::Fail:
      aHarness.End(aStep.mFirst, AttemptResult::Answered, 500);
      break;
    case Act::RefuseUnconfirmed:
      aHarness.End(aStep.mFirst, AttemptResult::Answered,
                   kRefusals.at(aStep.mSecond % kRefusals.size()));
      break;
    case Act::NotExecuted:
      aHarness.End(aStep.mFirst, AttemptResult::NotExecuted);
      break;
    case Act::NotConnected:
      aHarness.End(aStep.mFirst, AttemptResult::NotConnected);
      break;
    case Act::Lost:
      aHarness.End(aStep.mFirst, AttemptResult::Lost);
      break;
    case Act::Garble:
      aHarness.End(aStep.mFirst, AttemptResult::Garbled);
      break;
    case Act::AnswerProbes:
      aHarness.AnswerProbes(true);
      break;
    case Act::LoseProbes:
      aHarness.AnswerProbes(false);
      break;
    case Act::DisconnectCaller:
      aHarness.DisconnectCaller(aStep.mFirst + 1);
      break;
    case Act::SetViewStale:
      aHarness.SetViewFresh(false);
      break;
    case Act::SetViewFresh:
      aHarness.SetViewFresh(true);
      break;
    case Act::Shrink:
      aHarness.Publish({aStep.mFirst % 5});
      break;
    case Act::Grow:
      aHarness.Publish({0, 1, 2, 3, 4});
      break;
    case Act::Wait:
      aHarness.Advance(aStep.mTime % 200 + milliseconds(1));
      break;
  }
}

void CheckGuarantees(GatewayHarness& aHarness) {
  RC_ASSERT(aHarness.Violation().empty());
  for (const auto& [call, idempotent] : aHarness.Calls()) {
    const std::size_t executions = aHarness.Executions(call);
    RC_ASSERT(executions <= (idempotent ? 2U : 1U));
    const auto answer = aHarness.Answers().find(call);
    if (answer == aHarness.Answers().end()) {
      continue;
    }
    RC_ASSERT(!IsRefusal(answer->second) || executions == 0U);
  }
}

void PlaySchedule(const std::vector<Step>& aSteps, double aRetrySlack) {
  GatewayHarness harness(5, aRetrySlack);
  for (const Step& step : aSteps) {
    Apply(harness, step);
    CheckGuarantees(harness);
  }
  // Every call ends within the timeout of its route.
  harness.Advance(milliseconds(1300));
  CheckGuarantees(harness);
  RC_ASSERT(harness.Engine().InFlight() == 0U);
}

TEST_CASE("gateway: at most once and true answers under any order of faults") {
  CHECK(rc::check("schedules", [] {
    PlaySchedule(*rc::gen::container<std::vector<Step>>(GenerateStep<Act>(
                     kActs, kWaitWeight, kNumbers, milliseconds(200))),
                 *rc::gen::element(0.0, 2.0, 1000.0));
  }));
}

TEST_CASE("gateway: schedules that once broke a guarantee") {
  struct Case {
    const char* mCause;
    double mRetrySlack;
    std::vector<Step> mSteps;
  };
  const std::vector<Case> cases = {
      {"a call that was queued for a hedge was queued again when its first "
       "attempt failed",
       1000,
       {{Act::SendSafe, 0, 0, milliseconds(0)},
        {Act::Shrink, 0, 0, milliseconds(0)},
        {Act::Answer, 0, 0, milliseconds(0)},
        {Act::SendSafe, 0, 0, milliseconds(0)},
        {Act::Wait, 0, 0, milliseconds(131)},
        {Act::Wait, 0, 0, milliseconds(89)},
        {Act::Fail, 0, 0, milliseconds(0)}}},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mCause);
    CHECK(rc::check(one.mCause,
                    [&one] { PlaySchedule(one.mSteps, one.mRetrySlack); }));
  }
}

TEST_CASE("gateway: what each end of an attempt means for the caller") {
  struct Case {
    bool mIdempotent;
    AttemptResult mResult;
    int mStatus;
    /** Attempts after the end, including the first. */
    std::size_t mAttempts;
    /** Status for the caller; 0 if there is a second attempt instead. */
    int mAnswer;
  };
  const std::vector<Case> cases = {
      {true, AttemptResult::Answered, 200, 1, 200},
      {false, AttemptResult::Answered, 200, 1, 200},
      {false, AttemptResult::Answered, 500, 1, 500},
      {true, AttemptResult::Answered, 500, 2, 0},
      {true, AttemptResult::Lost, 0, 2, 0},
      {true, AttemptResult::Garbled, 0, 2, 0},
      {true, AttemptResult::NotExecuted, 0, 2, 0},
      {true, AttemptResult::NotConnected, 0, 2, 0},
      {false, AttemptResult::Lost, 0, 1, 502},
      {false, AttemptResult::Garbled, 0, 1, 502},
      {false, AttemptResult::NotExecuted, 0, 2, 0},
      {false, AttemptResult::NotConnected, 0, 2, 0},
      // An endpoint's own refusal that does not state that the request was not
      // run must not reach the caller.
      {false, AttemptResult::Answered, 503, 1, 502},
      {false, AttemptResult::Answered, 429, 1, 502},
      {false, AttemptResult::Answered, 408, 1, 502},
      {false, AttemptResult::Answered, 421, 1, 502},
      {true, AttemptResult::Answered, 503, 2, 0},
      {true, AttemptResult::Answered, 429, 2, 0},
      {true, AttemptResult::Answered, 408, 2, 0},
      // These statuses promise nothing, so they are passed on.
      {false, AttemptResult::Answered, 502, 1, 502},
      {false, AttemptResult::Answered, 504, 1, 504},
      {false, AttemptResult::Answered, 409, 1, 409},
      {true, AttemptResult::Answered, 404, 1, 404},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mIdempotent);
    CAPTURE(static_cast<int>(one.mResult));
    CAPTURE(one.mStatus);
    GatewayHarness harness(3);
    const CallId call = harness.SendRequest(one.mIdempotent);
    harness.AnswerProbes(true);
    REQUIRE(harness.Attempts().size() == 1);
    harness.End(0, one.mResult, one.mStatus);
    harness.AnswerProbes(true);
    CHECK(harness.Attempts().size() == one.mAttempts);
    const auto answer = harness.Answers().find(call);
    if (one.mAnswer == 0) {
      CHECK(answer == harness.Answers().end());
      continue;
    }
    REQUIRE(answer != harness.Answers().end());
    CHECK(StatusOf(answer->second) == one.mAnswer);
  }
}

TEST_CASE("gateway: requests that are refused before they are sent") {
  struct Case {
    const char* mHost;
    const char* mTarget;
    bool mViewFresh;
    std::size_t mEndpoints;
    int mStatus;
  };
  const std::vector<Case> cases = {
      {GatewayHarness::kSafeHost, "/x", true, 0, 503},
      {"other.example", "/x", true, 2, 404},
      {GatewayHarness::kSafeHost, "/x", false, 2, 503},
  };
  for (const Case& one : cases) {
    GatewayHarness harness(one.mEndpoints);
    harness.SetViewFresh(one.mViewFresh);
    const CallId call = harness.SendRequestTo(one.mHost, one.mTarget);
    harness.Advance(milliseconds(250));
    REQUIRE(harness.Answers().contains(call));
    CHECK(AnswerOf(harness.Answers().at(call).mError).mStatus == one.mStatus);
  }
}

TEST_CASE("gateway: requests wait until the view is fresh again") {
  GatewayHarness harness(2);
  harness.SetViewFresh(false);
  harness.SendRequest(true);
  CHECK(harness.Attempts().empty());
  harness.SetViewFresh(true);
  harness.AnswerProbes(true);
  CHECK(harness.Attempts().size() == 1);
}

/** Index of the attempt of a call among the running ones. */
std::size_t NumberOf(const GatewayHarness& aHarness, CallId aCall) {
  std::size_t number = 0;
  for (const AttemptId id : aHarness.Running()) {
    if (aHarness.Attempts().at(id).mCall == aCall) {
      return number;
    }
    ++number;
  }
  return number;
}

std::string EndpointOf(const GatewayHarness& aHarness, CallId aCall) {
  const auto running = aHarness.Running();
  return aHarness.Attempts()
      .at(running.at(NumberOf(aHarness, aCall)))
      .mEndpoint;
}

TEST_CASE("gateway: a call is given up while another waits behind it") {
  constexpr double kNoRetries = 0;
  GatewayHarness harness(2, kNoRetries);
  // The first call starts a probe round.
  harness.SendRequest(true);
  harness.End(0, AttemptResult::Answered);
  const CallId urgent = harness.SendRequest(false);
  std::vector<CallId> onOther;
  const std::vector<CallId> calls = {
      harness.SendRequest(true), harness.SendRequest(true),
      harness.SendRequest(true), harness.SendRequest(true)};
  harness.AnswerProbes(true);
  for (const CallId call : calls) {
    if (EndpointOf(harness, call) != EndpointOf(harness, urgent)) {
      onOther.push_back(call);
    }
  }
  REQUIRE(onOther.size() >= 2);
  const CallId waiting = onOther.front();
  harness.Advance(milliseconds(13));
  // The waiting call can only be sent to the endpoint of the urgent one, whose
  // load sample is stale now; the other endpoint has just reported its load.
  harness.End(NumberOf(harness, waiting), AttemptResult::NotExecuted);
  harness.End(NumberOf(harness, onOther.back()), AttemptResult::Answered);
  REQUIRE_FALSE(harness.Answers().contains(waiting));
  harness.End(NumberOf(harness, urgent), AttemptResult::NotExecuted);
  REQUIRE(harness.Answers().contains(urgent));
  CHECK(harness.Answers().at(urgent).mError == ErrorKind::Overloaded);
  CHECK_FALSE(harness.Answers().contains(waiting));
}

struct ShedCase {
  const char* mWhat;
  std::vector<std::size_t> mEndpoints;
  /** Whether the second attempt goes to the same endpoint as the first. */
  bool mSame;
};

TEST_CASE("gateway: a request that was shed waits for the only endpoint") {
  const std::vector<ShedCase> table = {
      {"no other endpoint exists", {0}, true},
      {"another endpoint exists", {0, 1}, false},
  };
  for (const ShedCase& row : table) {
    for (const bool idempotent : {true, false}) {
      CAPTURE(row.mWhat);
      CAPTURE(idempotent);
      GatewayHarness harness(2);
      harness.Publish(row.mEndpoints);
      const CallId call = harness.SendRequest(idempotent);
      harness.AnswerProbes(true);
      REQUIRE(harness.Running().size() == 1);
      harness.End(0, AttemptResult::NotExecuted);
      for (int wait = 0; wait < 12 && harness.Running().empty(); ++wait) {
        harness.Advance(milliseconds(10));
        harness.AnswerProbes(true);
      }
      REQUIRE(harness.Attempts().size() == 2);
      const auto first = harness.Attempts().begin();
      CHECK((std::next(first)->second.mEndpoint == first->second.mEndpoint) ==
            row.mSame);
      harness.End(0, AttemptResult::Answered);
      CHECK(harness.Answers().at(call).mResponse != nullptr);
    }
  }
}

TEST_CASE("gateway: a backoff requested by an endpoint is respected") {
  struct Case {
    const char* mWhat;
    Duration mBackoff;
    /** Whether the request stays queued until the backoff ends. */
    bool mWaits;
  };
  // The target latency is 300 ms.
  const std::vector<Case> table = {
      {"for less than the request may wait", milliseconds(60), true},
      {"for longer than the request may wait", milliseconds(4000), false},
  };
  for (const Case& row : table) {
    for (const bool idempotent : {true, false}) {
      CAPTURE(row.mWhat);
      CAPTURE(idempotent);
      GatewayHarness harness(1);
      const CallId call = harness.SendRequest(idempotent);
      harness.AnswerProbes(true);
      REQUIRE(harness.Running().size() == 1);
      harness.End(0, AttemptResult::NotExecuted, 503,
                  EndpointNotice{false, row.mBackoff});
      CHECK(harness.Answers().contains(call) == !row.mWaits);
      CHECK(harness.Running().empty());
      // The endpoint gets no requests and no probes during its backoff.
      const CallId next = harness.SendRequest(idempotent);
      CHECK(harness.Probes() == 0);
      CHECK(harness.Answers().contains(next) == !row.mWaits);
      if (!row.mWaits) {
        CHECK(harness.Answers().at(call).mError == ErrorKind::Overloaded);
        for (const CallId refused : {call, next}) {
          CHECK(harness.Answers().at(refused).mRetryAfter >= row.mBackoff);
        }
        continue;
      }
      harness.Advance(row.mBackoff + milliseconds(30));
      harness.AnswerProbes(true);
      CHECK(harness.Running().size() == 2);
    }
  }
}

TEST_CASE("gateway: a draining endpoint gets no more requests") {
  for (const bool byProbe : {true, false}) {
    CAPTURE(byProbe);
    GatewayHarness harness(2);
    harness.SendRequest(true);
    const EndpointNotice draining{true, Duration::zero()};
    std::string drainingId;
    if (byProbe) {
      harness.Publish({0});
      harness.AnswerProbes(true, draining);
      drainingId = "e0";
      harness.Publish({0, 1});
    } else {
      harness.AnswerProbes(true);
      drainingId = EndpointOf(harness, 1);
      harness.End(0, AttemptResult::Answered, 200, draining);
    }
    // The store still lists the endpoint, then removes it and lists it again.
    for (const std::vector<std::size_t>& listed :
         {std::vector<std::size_t>{0, 1},
          std::vector<std::size_t>{drainingId == "e0" ? 1U : 0U},
          std::vector<std::size_t>{0, 1}}) {
      harness.Publish(listed);
      for (int request = 0; request < 6; ++request) {
        harness.SendRequest(request % 2 == 0);
        harness.AnswerProbes(true);
      }
      for (const AttemptId id : harness.Running()) {
        CHECK(harness.Attempts().at(id).mEndpoint != drainingId);
      }
    }
  }
}

TEST_CASE("gateway: a service without endpoints keeps its share of a split") {
  constexpr const char* kOther = "other";
  GatewayEngine engine("dc", 1);
  auto source = std::make_shared<RoutingConfiguration>();
  source->mVersion = 1;
  Route route;
  route.mName = "split";
  route.mHost = "shop.example";
  route.mPrefix = "/";
  route.mKind = RouteKind::Idempotent;
  route.mTimeout = milliseconds(1000);
  route.mTargetLatency = milliseconds(300);
  route.mMaxAttempts = 2;
  route.mShares = {ServiceShare{GatewayHarness::kService, 3},
                   ServiceShare{kOther, 1}};
  source->mRoutes = {route};
  auto endpoints = std::make_shared<EndpointMap>();
  EndpointEntry entry;
  entry.mId = "e0";
  entry.mService = GatewayHarness::kService;
  entry.mAddress = "10.0.0.1:80";
  entry.mDataCentre = "dc";
  entry.mSlots = 100;
  endpoints->emplace(entry.mId, entry);
  auto view = std::make_shared<RoutingView>();
  view->mRoutes = std::make_shared<RouteTable>(source);
  view->mEndpoints = endpoints;
  const TimePoint now{std::chrono::hours(1)};
  engine.Apply(view, now);
  engine.SetViewFresh(true, now);
  constexpr CallId kCalls = 80;
  std::size_t sent = 0;
  std::size_t refused = 0;
  for (CallId id = 1; id <= kCalls; ++id) {
    GatewayRequest request;
    request.mRequestId = std::to_string(id);
    request.mMethod = "GET";
    request.mHost = route.mHost;
    request.mTarget = "/x";
    for (const GatewayAction& action : engine.Arrive(id, request, now)) {
      sent += std::holds_alternative<StartAttempt>(action) ? 1 : 0;
      const auto* const answer = std::get_if<GatewayAnswer>(&action);
      refused += answer != nullptr && answer->mError == ErrorKind::NoEndpoint;
    }
  }
  CHECK(sent == 60);
  CHECK(refused == 20);
}

TEST_CASE("gateway: a host without load samples probes before it sends") {
  struct Case {
    std::string mWhat;
    std::string mHealthPath;
    /** Whether probes are answered. */
    bool mAnswered;
    bool mSentBefore;
  };
  const std::vector<Case> table = {
      {"endpoints report their load", "/health", true, false},
      {"endpoints do not answer", "/health", false, false},
      {"endpoints have no health path", "", false, true},
  };
  for (const Case& row : table) {
    CAPTURE(row.mWhat);
    GatewayHarness harness(3);
    harness.SetHealthPath(row.mHealthPath);
    harness.Publish({0, 1, 2});
    harness.SendRequest(true);
    CHECK(harness.Running().size() == (row.mSentBefore ? 1 : 0));
    harness.AnswerProbes(row.mAnswered);
    harness.Advance(milliseconds(150));
    harness.AnswerProbes(row.mAnswered);
    REQUIRE(harness.Running().size() == 1);
  }
}

TEST_CASE("gateway: endpoints without a health path delay no request") {
  GatewayHarness harness(3);
  harness.SetHealthPath("");
  harness.Publish({0, 1, 2});
  for (int request = 0; request < 3; ++request) {
    harness.SendRequest(true);
    REQUIRE(harness.Running().size() == 1);
    // The answer reports a load, which is stale when the next request arrives.
    harness.End(0, AttemptResult::Answered);
    harness.Advance(milliseconds(60));
  }
}

TEST_CASE("gateway: a caller that disconnects cancels only idempotent calls") {
  for (const bool idempotent : {true, false}) {
    GatewayHarness harness(2);
    const CallId call = harness.SendRequest(idempotent);
    harness.AnswerProbes(true);
    REQUIRE(harness.Running().size() == 1);
    harness.DisconnectCaller(call);
    CHECK(harness.Running().size() == (idempotent ? 0 : 1));
    CHECK(harness.Engine().InFlight() == (idempotent ? 0 : 1));
  }
}

// Guards against requests that are taken late in a planned stop and cut off at
// its end.
TEST_CASE("gateway: a draining host takes only requests that can end in time") {
  struct Case {
    const char* mWhat;
    Duration mCallerTimeout;
    bool mTaken;
  };
  const std::vector<Case> cases = {
      {"ends before the host", milliseconds(300), true},
      {"ends with the host", milliseconds(500), true},
      {"may end after the host", milliseconds(501), false},
  };
  for (const Case& one : cases) {
    for (const bool idempotent : {true, false}) {
      CAPTURE(one.mWhat);
      CAPTURE(idempotent);
      GatewayHarness harness(3);
      harness.Engine().AcceptUntil(harness.Time().Now() + milliseconds(500));
      const CallId call = harness.SendRequest(idempotent, one.mCallerTimeout);
      CHECK(harness.Answers().contains(call) != one.mTaken);
      if (!one.mTaken) {
        CHECK(harness.Answers().at(call).mError == ErrorKind::HostNotReady);
        CHECK(harness.Executions(call) == 0);
      }
    }
  }
}

// Guards against requests that end without an answer, or with a false one, as
// their host stops.
TEST_CASE("gateway: at the end of a stop each call is answered truthfully") {
  for (const bool idempotent : {true, false}) {
    CAPTURE(idempotent);
    GatewayHarness harness(3);
    const CallId running = harness.SendRequest(idempotent);
    harness.AnswerProbes(true);
    REQUIRE(harness.Running().size() == 1);
    const CallId waiting = harness.SendRequest(idempotent);
    harness.EndAllCalls();
    CHECK(harness.Answers().at(running).mError == ErrorKind::TimedOut);
    const bool wasSent = harness.Attempts().size() > 1;
    CHECK(harness.Answers().at(waiting).mError ==
          (wasSent ? ErrorKind::TimedOut : ErrorKind::HostNotReady));
    CHECK(harness.Running().empty());
    CHECK(harness.Engine().InFlight() == 0);
  }
}

// Guards against calls that wait for endpoints although this host has lost its
// paths to all of them.
TEST_CASE("gateway: calls of a service that this host has lost are refused") {
  for (const bool idempotent : {true, false}) {
    CAPTURE(idempotent);
    GatewayHarness harness(12);
    harness.SendRequest(idempotent);
    for (int step = 0; step < 30; ++step) {
      harness.AnswerProbes(false);
      harness.Advance(milliseconds(25));
    }
    const std::size_t sent = harness.Attempts().size();
    CHECK(harness.Engine().Reach(harness.Time().Now()).mLost.size() == 1);
    const CallId refused = harness.SendRequest(idempotent);
    REQUIRE(harness.Answers().contains(refused));
    CHECK(harness.Answers().at(refused).mError == ErrorKind::NoEndpoint);
    CHECK(harness.Executions(refused) == 0);
    // Probes show that the cut has ended.
    for (int step = 0; step < 40; ++step) {
      harness.Advance(milliseconds(25));
      harness.AnswerProbes(true);
    }
    CHECK(harness.Engine().Reach(harness.Time().Now()).mLost.empty());
    const CallId served = harness.SendRequest(idempotent);
    harness.AnswerProbes(true);
    CHECK_FALSE(harness.Answers().contains(served));
    CHECK(harness.Attempts().size() == sent + 1);
  }
}

// Guards against a call that is used after it ended: its attempt is the one
// that shows that the service is lost, while the call also waits for a hedge.
TEST_CASE(
    "gateway: a call that waits for a hedge ends as its service is lost") {
  for (int offset = 0; offset < 800; offset += 2) {
    GatewayHarness harness(60);
    const CallId hedged = harness.SendRequest(true);
    harness.AnswerProbes(true);
    REQUIRE(harness.Running().size() == 1);
    harness.Advance(milliseconds(offset));
    harness.SendRequest(false);
    // Probes of the other call go unanswered, up to just before the service
    // counts as lost.
    for (int step = 0; step < 29; ++step) {
      harness.AnswerProbes(false);
      harness.Advance(milliseconds(10));
    }
    // The clock only, so that no timer shows the loss first.
    harness.Time().Advance(milliseconds(12));
    harness.End(0, AttemptResult::Lost);
    harness.Advance(milliseconds(500));
    CHECK(harness.Executions(hedged) <= 3);
    CHECK(harness.Violation().empty());
  }
}

TEST_CASE("gateway: a host finds out whether it reaches what others lost") {
  GatewayHarness harness(12);
  const std::string service = GatewayHarness::kService;
  CHECK(harness.Probes() == 0);
  harness.CheckServices({service});
  CHECK(harness.Probes() > 0);
  harness.AnswerProbes(true);
  CHECK(harness.Engine().Reach(harness.Time().Now()).mReached ==
        std::set<std::string>{service});
  harness.CheckServices({});
  CHECK(harness.Engine().Reach(harness.Time().Now()) == ServiceReach{});
}

}  // namespace
}  // namespace papayawheel
