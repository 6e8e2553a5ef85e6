#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/core/engine_fleet.h"
#include "tests/core/schedule_step.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Act { Order, Query, Resend, Kill, Restart, Pause, Resume, Wait };
constexpr int kActs = 8;

using Step = ScheduleStep<Act>;

void Apply(EngineFleet& aFleet, const Step& aStep) {
  const std::size_t first = aStep.mFirst % aFleet.Hosts();
  const std::size_t second = aStep.mSecond % aFleet.Hosts();
  switch (aStep.mAct) {
    case Act::Order:
      aFleet.Send(aFleet.NewOrder(first), second);
      break;
    case Act::Query:
      aFleet.Send(aFleet.NewQuery(), first);
      break;
    case Act::Resend:
      aFleet.Resend(aStep.mFirst, second);
      break;
    case Act::Kill:
      aFleet.Kill(first);
      break;
    case Act::Restart:
      aFleet.Restart(first);
      break;
    case Act::Pause:
      aFleet.SetPaused(first, true);
      break;
    case Act::Resume:
      aFleet.SetPaused(first, false);
      break;
    case Act::Wait:
      aFleet.Advance(aStep.mTime);
      break;
  }
  aFleet.Advance(milliseconds(10));
}

TEST_CASE("requests run at most once and outcomes are true") {
  CHECK(rc::check("any schedule of faults and resends", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto trouble = *rc::gen::element(0, 20, 60);
    const auto steps = *rc::gen::container<std::vector<Step>>(
        GenerateStep<Act>(kActs, 0, 16, milliseconds(2000)));
    EngineFleet fleet(3, 3, seed);
    fleet.SetFaultPercent(trouble);
    fleet.SetRefusing(*rc::gen::arbitrary<bool>());
    for (const Step& step : steps) {
      Apply(fleet, step);
    }
    // Resume all processes and let all pending messages arrive.
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      fleet.SetPaused(host, false);
    }
    fleet.Advance(seconds(5));
    RC_ASSERT(fleet.Violation() == "");
  }));
}

struct RegressionSchedule {
  const char* mWhat;
  std::vector<Step> mSteps;
};

TEST_CASE("schedules that once gave a false outcome give a true one") {
  const std::vector<RegressionSchedule> schedules = {
      {"a host resumed late and refused a key whose request its owner had run",
       {{Act::Pause, 0, 0, {}},
        {Act::Order, 1, 0, {}},
        {Act::Resend, 0, 1, {}},
        {Act::Wait, 0, 0, milliseconds(161)},
        {Act::Wait, 0, 0, milliseconds(1771)},
        {Act::Resume, 0, 0, {}},
        {Act::Wait, 0, 0, milliseconds(1000)}}},
  };
  for (const RegressionSchedule& schedule : schedules) {
    CAPTURE(schedule.mWhat);
    EngineFleet fleet(3, 3, 0);
    for (const Step& step : schedule.mSteps) {
      Apply(fleet, step);
    }
    CHECK(fleet.Violation() == "");
  }
}

TEST_CASE("a request that crashes endpoints is quarantined after two of them") {
  CHECK(rc::check("repeats through hosts that exchange crash reports", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto order = *rc::gen::arbitrary<bool>();
    const auto hosts =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    EngineFleet fleet(4, 8, seed);
    for (const int host : hosts) {
      // A repeated order gets a new key.
      const std::size_t request =
          order ? fleet.NewOrder(static_cast<std::size_t>(host))
                : fleet.NewQuery();
      fleet.MarkCrashing(request);
      fleet.Send(request, static_cast<std::size_t>(host));
      fleet.Advance(milliseconds(60));
      RC_ASSERT(fleet.Crashes() <= 2U);
    }
  }));
}

struct LandingCase {
  const char* mWhat;
  Contract mContract;
  /** Hosts that receive the calls, in round-robin order. */
  std::vector<std::size_t> mLanding;
};

TEST_CASE("a customer gets its contract whichever hosts its calls land on") {
  std::vector<std::size_t> everywhere;
  for (std::size_t host = 0; host < 20; ++host) {
    everywhere.push_back(host);
  }
  std::vector<LandingCase> table;
  for (const auto& [name, contract] :
       {std::pair("10 at once", SampleContract(100, 20, 10)),
        std::pair("40 at once", SampleContract(200, 40, 40)),
        std::pair("200 at once", SampleContract(1000, 200, 200))}) {
    for (const std::size_t host : {0, 7, 13}) {
      table.push_back({name, contract, {host}});
    }
    table.push_back({name, contract, everywhere});
  }
  for (const LandingCase& row : table) {
    CAPTURE(row.mWhat);
    CAPTURE(row.mLanding.front());
    CAPTURE(row.mLanding.size());
    EngineFleet fleet(20, 40, 1, row.mContract);
    const auto offered =
        static_cast<int>(row.mContract.mRatePerSecond * 1.5 / 100);
    constexpr int kSeconds = 10;
    std::size_t next = 0;
    for (int round = 0; round < kSeconds * 100; ++round) {
      for (int call = 0; call < offered; ++call) {
        fleet.Send(fleet.NewQuery(), row.mLanding[next]);
        next = (next + 1) % row.mLanding.size();
      }
      fleet.Advance(milliseconds(10));
    }
    // Calls in transit may still be admitted in this time.
    constexpr double kTransitSeconds = 0.2;
    fleet.Advance(milliseconds(200));
    double answered = 0;
    for (const EngineFleet::RequestRecord& request : fleet.Requests()) {
      answered += request.mReportedAnswered ? 1 : 0;
    }
    const double granted = row.mContract.mRatePerSecond * kSeconds;
    MESSAGE(std::string(row.mWhat)
            << " on " << row.mLanding.size() << " hosts from "
            << row.mLanding.front() << ": " << answered / granted);
    CHECK(answered >= 0.95 * granted);
    CHECK(answered <= granted + row.mContract.mBurst +
                          row.mContract.mRatePerSecond * kTransitSeconds);
  }
}

struct RefusedCall {
  const char* mWhat;
  CallRequest mRequest;
  ErrorKind mError;
};

TEST_CASE("calls that cannot be served are refused with their kind") {
  const CallRequest good{"roofers", "orders", "GET", "/", 0, "", {}, {}};
  const auto with = [&good](auto aChange) {
    CallRequest request = good;
    aChange(request);
    return request;
  };
  const std::vector<RefusedCall> table = {
      {"customer without contract",
       with([](CallRequest& aCall) { aCall.mCustomer = "nobody"; }),
       ErrorKind::UnknownCustomer},
      {"unknown service",
       with([](CallRequest& aCall) { aCall.mService = "none"; }),
       ErrorKind::UnknownService},
      {"service not in the contract",
       with([](CallRequest& aCall) { aCall.mService = "other"; }),
       ErrorKind::ServiceNotInContract},
      {"order without key",
       with([](CallRequest& aCall) { aCall.mMethod = "POST"; }),
       ErrorKind::KeyMissing},
      {"malformed key", with([](CallRequest& aCall) { aCall.mKey = "h0.zz"; }),
       ErrorKind::KeyMalformed},
      {"caller timeout of zero",
       with([](CallRequest& aCall) { aCall.mCallerTimeout = Duration(0); }),
       ErrorKind::DeadlinePassed},
      {"key of a host that does not exist",
       with([](CallRequest& aCall) { aCall.mKey = "h9.1.0.x"; }),
       ErrorKind::KeyOwnerGone},
      {"key of an earlier process of this host",
       with([](CallRequest& aCall) { aCall.mKey = "h0.1.0.x"; }),
       ErrorKind::KeyOwnerGone},
      {"key that is too old",
       with([](CallRequest& aCall) { aCall.mKey = "h0.7.0.x"; }),
       ErrorKind::KeyExpired},
  };
  Configuration configuration = SampleConfiguration(1, 1, SampleContract());
  configuration.mServices["other"] = configuration.mServices["orders"];
  FakeClock clock;
  CallEngine engine(HostIdentity{"h0", "dc0", 7}, clock.Now());
  engine.Apply(MakeSharedConfiguration(configuration), clock.Now());
  engine.SetReady(true);
  clock.Advance(kKeyUseTime + seconds(10));
  engine.NoteControlIteration(clock.Now());
  CallId id = 0;
  for (const RefusedCall& row : table) {
    CAPTURE(row.mWhat);
    const CallActions actions = engine.Arrive(++id, row.mRequest, clock.Now());
    REQUIRE(actions.size() == 1);
    const auto* answer = std::get_if<AnswerAction>(&actions[0]);
    REQUIRE(answer != nullptr);
    CHECK(answer->mResponse == nullptr);
    CHECK(AnswerOf(answer->mError).mName == AnswerOf(row.mError).mName);
  }
  CHECK(engine.InFlight() == 0);
  clock.Advance(kMaxControlGap);
  const CallActions late = engine.Arrive(++id, good, clock.Now());
  CHECK(std::get<AnswerAction>(late.at(0)).mError == ErrorKind::HostNotReady);
}

/** Returns what the caller of a call gets whose one attempt is answered. */
AnswerAction AnswerFor(CallEngine& aEngine, CallId aId,
                       const CallRequest& aRequest, int aStatus,
                       const FakeClock& aClock) {
  const CallActions sent = aEngine.Arrive(aId, aRequest, aClock.Now());
  REQUIRE(sent.size() == 1);
  REQUIRE(std::holds_alternative<SendToEndpointAction>(sent[0]));
  auto response = std::make_shared<Response>();
  response->mStatus = aStatus;
  const CallActions answered = aEngine.EndpointReplied(
      aId, EndpointReply{EndpointResult::Answered, {}, response}, aClock.Now());
  REQUIRE(answered.size() == 1);
  REQUIRE(std::holds_alternative<AnswerAction>(answered[0]));
  return std::get<AnswerAction>(answered[0]);
}

// Guards against a caller that reads only the status and takes an endpoint's
// own refusal, which does not state that the call was not run, for proof of it.
TEST_CASE(
    "calls: an unconfirmed refusal of an endpoint is an unknown outcome") {
  struct Case {
    int mStatus;
    bool mIsPassedOn;
  };
  const std::vector<Case> cases = {
      {408, false}, {421, false}, {429, false}, {503, false}, {200, true},
      {404, true},  {409, true},  {500, true},  {502, true},  {504, true},
  };
  FakeClock clock;
  CallEngine engine(HostIdentity{"h0", "dc0", 7}, clock.Now());
  engine.Apply(
      MakeSharedConfiguration(SampleConfiguration(1, 1, SampleContract())),
      clock.Now());
  engine.SetReady(true);
  // Hosts use their shares only after all calls of a possible predecessor must
  // have ended.
  for (int second = 0; second < 10; ++second) {
    clock.Advance(seconds(1));
    engine.NoteControlIteration(clock.Now());
    engine.Tick(clock.Now());
  }
  CallId id = 0;
  for (const Case& one : cases) {
    for (const std::string method : {"GET", "POST"}) {
      CAPTURE(one.mStatus);
      CAPTURE(method);
      ++id;
      CallRequest request{"roofers", "orders", method, "/", 0, "", {}, {}};
      request.mKey =
          engine.Outcomes().KeyPrefix(clock.Now()) + std::to_string(id);
      const AnswerAction answer =
          AnswerFor(engine, id, request, one.mStatus, clock);
      CHECK((answer.mResponse != nullptr) == one.mIsPassedOn);
      const KeyRecord record =
          engine.FindOutcome(request.mKey, clock.Now()).mRecord;
      CHECK((record.mResponse != nullptr) == one.mIsPassedOn);
      if (!one.mIsPassedOn) {
        CHECK(AnswerOf(answer.mError).mStatus == 502);
        CHECK(AnswerOf(answer.mError).mOutcome == Outcome::Unknown);
        CHECK(record.mError == answer.mError);
      }
    }
  }
}

// Guards against the same answer when a host of an earlier version, which
// passes it on, has served the call.
TEST_CASE("calls: an unconfirmed refusal that another host passes on") {
  FakeClock clock;
  CallEngine engine(HostIdentity{"h0", "dc0", 7}, clock.Now());
  engine.Apply(
      MakeSharedConfiguration(SampleConfiguration(2, 1, SampleContract())),
      clock.Now());
  engine.SetReady(true);
  engine.NoteControlIteration(clock.Now());
  CallRequest request{"roofers", "orders", "POST", "/", 0, "", {}, {}};
  request.mKey = "h1.7.0.x";
  const CallActions sent = engine.Arrive(1, request, clock.Now());
  REQUIRE(std::holds_alternative<SendToHostAction>(sent.at(0)));
  HostReply reply;
  reply.mResult = HostReply::Result::Answered;
  reply.mOutcome = Outcome::Answered;
  auto response = std::make_shared<Response>();
  response->mStatus = 503;
  reply.mResponse = response;
  const CallActions actions = engine.HostReplied(1, reply, clock.Now());
  const AnswerAction answer = std::get<AnswerAction>(actions.at(0));
  REQUIRE(answer.mResponse == nullptr);
  CHECK(AnswerOf(answer.mError).mStatus == 502);
  CHECK(AnswerOf(answer.mError).mOutcome == Outcome::Unknown);
}

TEST_CASE("every error kind has its own row and a name that reads back") {
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::RequestIdMissing);
       ++kind) {
    const auto error = static_cast<ErrorKind>(kind);
    CHECK(AnswerOf(error).mKind == error);
    CHECK(ParseErrorKind(AnswerOf(error).mName) == error);
  }
}

}  // namespace
}  // namespace papayawheel
