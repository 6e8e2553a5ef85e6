#include "tests/core/gateway_harness.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

Route MakeRoute(const char* aHost, RouteKind aKind, std::uint32_t aPriority) {
  Route route;
  route.mName = aHost;
  route.mHost = aHost;
  route.mPrefix = "/";
  route.mKind = aKind;
  route.mPriority = aPriority;
  route.mTimeout = milliseconds(1000);
  route.mTargetLatency = milliseconds(300);
  route.mMaxAttempts = 2;
  route.mShares = {ServiceShare{GatewayHarness::kService, 1}};
  return route;
}

}  // namespace

int StatusOf(const GatewayAnswer& aAnswer) {
  return aAnswer.mResponse != nullptr ? aAnswer.mResponse->mStatus
                                      : AnswerOf(aAnswer.mError).mStatus;
}

bool IsRefusal(const GatewayAnswer& aAnswer) {
  const bool saysNotRun = aAnswer.mResponse == nullptr &&
                          AnswerOf(aAnswer.mError).mOutcome == Outcome::NotRun;
  return saysNotRun || std::find(kRefusals.begin(), kRefusals.end(),
                                 StatusOf(aAnswer)) != kRefusals.end();
}

GatewayHarness::GatewayHarness(std::size_t aEndpoints, double aRetrySlack)
    : mEngine(kDataCentre, 1) {
  std::vector<std::size_t> numbers(aEndpoints);
  std::iota(numbers.begin(), numbers.end(), 0);
  mEngine.SetRetryBudget(
      RetryBudgetTerms{0.2, aRetrySlack, std::chrono::seconds(10)}, 1);
  Publish(numbers);
  SetViewFresh(true);
}

void GatewayHarness::SetEvacuated(bool aIsEvacuated) {
  mIsEvacuated = aIsEvacuated;
  Publish(std::vector<std::size_t>(mPublished));
}

void GatewayHarness::Publish(const std::vector<std::size_t>& aNumbers) {
  mPublished = aNumbers;
  auto source = std::make_shared<RoutingConfiguration>();
  source->mVersion = 1;
  source->mRoutes = {MakeRoute(kSafeHost, RouteKind::Idempotent, 2),
                     MakeRoute(kOnceHost, RouteKind::AtMostOnce, 1)};
  source->mServices.emplace(
      kService,
      ServiceSettings{kService, mHealthPath, 300, mWarmUpRate, mWarmUpPeriod});
  auto endpoints = std::make_shared<EndpointMap>();
  for (const std::size_t number : aNumbers) {
    EndpointEntry entry;
    entry.mId = fmt::format("e{}", number);
    entry.mService = kService;
    entry.mAddress = fmt::format("10.0.0.{}:80", number + 1);
    entry.mDataCentre = kDataCentre;
    entry.mSlots = 4;
    entry.mWarmUpRemaining = mWarmUpRemaining;
    endpoints->emplace(entry.mId, entry);
  }
  auto view = std::make_shared<RoutingView>();
  view->mRoutes = std::make_shared<RouteTable>(source);
  view->mEndpoints = endpoints;
  if (mIsEvacuated) {
    view->mEvacuated =
        std::make_shared<DataCentreSet>(DataCentreSet{kDataCentre});
  }
  view->mRevision = ++mRevision;
  mEngine.Apply(view, mClock.Now());
}

CallId GatewayHarness::SendRequest(bool aIdempotent,
                                   std::optional<Duration> aCallerTimeout) {
  const CallId id = ++mLastCall;
  mIdempotent[id] = aIdempotent;
  GatewayRequest request;
  request.mRequestId = fmt::format("{}", id);
  request.mMethod = aIdempotent ? "GET" : "POST";
  request.mHost = aIdempotent ? kSafeHost : kOnceHost;
  request.mTarget = fmt::format("/{}", id);
  request.mCallerTimeout = aCallerTimeout;
  Act(mEngine.Arrive(id, request, mClock.Now()));
  return id;
}

CallId GatewayHarness::SendRequestTo(const std::string& aHost,
                                     const std::string& aTarget) {
  const CallId id = ++mLastCall;
  mIdempotent[id] = aHost != kOnceHost;
  GatewayRequest request;
  request.mRequestId = fmt::format("{}", id);
  request.mMethod = mIdempotent[id] ? "GET" : "POST";
  request.mHost = aHost;
  request.mTarget = aTarget;
  Act(mEngine.Arrive(id, request, mClock.Now()));
  return id;
}

void GatewayHarness::Advance(Duration aTime) {
  EndAttemptsOnCrashed(AttemptResult::NotConnected);
  const TimePoint end = mClock.Now() + aTime;
  while (const auto due = mEngine.NextDue()) {
    if (*due > end) {
      break;
    }
    if (*due > mClock.Now()) {
      mClock.Advance(std::chrono::duration_cast<Duration>(*due - mClock.Now()));
    }
    Act(mEngine.Tick(mClock.Now()));
  }
  mClock.Advance(std::chrono::duration_cast<Duration>(end - mClock.Now()));
}

void GatewayHarness::End(std::size_t aNumber, AttemptResult aResult,
                         int aStatus, const EndpointNotice& aNotice) {
  const std::vector<AttemptId> running = Running();
  if (running.empty()) {
    return;
  }
  const AttemptId id = running.at(aNumber % running.size());
  Attempt& attempt = mAttempts.at(id);
  attempt.mEnded = true;
  attempt.mExecuted = aResult != AttemptResult::NotConnected &&
                      aResult != AttemptResult::NotExecuted;
  AttemptReply reply;
  reply.mResult = aResult;
  if (aResult == AttemptResult::NotConnected) {
    reply.mLiveness = EndpointLiveness::Refused;
  } else if (aResult == AttemptResult::Answered ||
             aResult == AttemptResult::NotExecuted) {
    reply.mLiveness = EndpointLiveness::Alive;
  }
  reply.mNotice = aNotice;
  if (aResult == AttemptResult::Answered) {
    auto response = std::make_shared<Response>();
    response->mStatus = aStatus;
    reply.mResponse = std::move(response);
    reply.mSample = LoadSample{1, 0, 4, 1};
  }
  Act(mEngine.AttemptEnded(id, reply, mClock.Now()));
}

void GatewayHarness::Crash(const std::vector<std::string>& aEndpoints) {
  mCrashed.insert(aEndpoints.begin(), aEndpoints.end());
  EndAttemptsOnCrashed(AttemptResult::Lost);
}

void GatewayHarness::EndAttemptsOnCrashed(AttemptResult aResult) {
  // Retries that are sent to a crashed endpoint by these actions are refused by
  // the next Advance().
  const std::vector<AttemptId> running = Running();
  for (const AttemptId id : running) {
    Attempt& attempt = mAttempts.at(id);
    if (attempt.mEnded || !mCrashed.contains(attempt.mEndpoint)) {
      continue;
    }
    attempt.mEnded = true;
    attempt.mExecuted = aResult == AttemptResult::Lost;
    AttemptReply reply;
    reply.mResult = aResult;
    reply.mLiveness = aResult == AttemptResult::NotConnected
                          ? EndpointLiveness::Refused
                          : EndpointLiveness::Unknown;
    Act(mEngine.AttemptEnded(id, reply, mClock.Now()));
  }
}

void GatewayHarness::AnswerProbes(bool aAnswered, const EndpointNotice& aNotice,
                                  EndpointLiveness aLiveness) {
  const auto probes = mProbes;
  mProbes.clear();
  for (const auto& [id, endpoint] : probes) {
    ProbeReply reply;
    const bool answered = aAnswered && !mCrashed.contains(endpoint);
    reply.mLiveness = answered                      ? EndpointLiveness::Alive
                      : mCrashed.contains(endpoint) ? EndpointLiveness::Refused
                                                    : aLiveness;
    if (answered) {
      reply.mSample = LoadSample{0, 0, 4, 1};
      reply.mNotice = aNotice;
    }
    Act(mEngine.ProbeEnded(id, reply, mClock.Now()));
  }
}

void GatewayHarness::AnswerProbesAs(
    const std::function<std::optional<Duration>(const std::string&)>&
        aColdFor) {
  for (const auto& [probe, endpoint] : std::exchange(mProbes, {})) {
    const auto coldFor = aColdFor(endpoint);
    ProbeReply reply;
    if (coldFor) {
      reply.mLiveness = EndpointLiveness::Alive;
      reply.mSample = LoadSample{0, 0, 4, 1};
      reply.mNotice.mSource = NoticeSource::Probe;
      reply.mNotice.mColdFor = coldFor;
    }
    Act(mEngine.ProbeEnded(probe, reply, mClock.Now()));
  }
}

void GatewayHarness::DisconnectCaller(CallId aCall) {
  if (!mAnswers.contains(aCall) && mIdempotent.contains(aCall)) {
    mDisconnected.insert(aCall);
    Act(mEngine.CallerDisconnected(aCall, mClock.Now()));
  }
}

void GatewayHarness::EndAllCalls() { Act(mEngine.EndAllCalls(mClock.Now())); }

void GatewayHarness::CheckServices(const std::set<std::string>& aServices) {
  Act(mEngine.SetServicesToCheck(aServices, mClock.Now()));
}

void GatewayHarness::SetViewFresh(bool aFresh) {
  Act(mEngine.SetViewFresh(aFresh, mClock.Now()));
}

std::vector<AttemptId> GatewayHarness::Running() const {
  std::vector<AttemptId> running;
  for (const auto& [id, attempt] : mAttempts) {
    if (!attempt.mEnded) {
      running.push_back(id);
    }
  }
  return running;
}

std::size_t GatewayHarness::Executions(CallId aCall) const {
  std::size_t executions = 0;
  for (const auto& [id, attempt] : mAttempts) {
    const bool mayHaveRun = !attempt.mEnded || attempt.mExecuted;
    executions += attempt.mCall == aCall && mayHaveRun ? 1 : 0;
  }
  return executions;
}

void GatewayHarness::Act(const GatewayActions& aActions) {
  for (const GatewayAction& action : aActions) {
    if (const auto* const answer = std::get_if<GatewayAnswer>(&action)) {
      if (mAnswers.contains(answer->mCall)) {
        mViolation = fmt::format("call {} was answered twice", answer->mCall);
      }
      if (mDisconnected.contains(answer->mCall)) {
        mViolation =
            fmt::format("call {} was answered after its caller disconnected",
                        answer->mCall);
      }
      mAnswers[answer->mCall] = *answer;
    } else if (const auto* const start = std::get_if<StartAttempt>(&action)) {
      if (mAnswers.contains(start->mCall)) {
        mViolation =
            fmt::format("call {} was sent after its answer", start->mCall);
      }
      mAttempts[start->mAttempt] =
          Attempt{start->mCall, start->mEndpoint, false, false};
    } else if (const auto* const probe = std::get_if<StartProbe>(&action)) {
      mProbes[probe->mProbe] = probe->mEndpoint;
    } else if (const auto* const cancel = std::get_if<CancelAttempt>(&action)) {
      // The endpoint may have started to run a cancelled attempt.
      Attempt& attempt = mAttempts.at(cancel->mAttempt);
      attempt.mEnded = true;
      attempt.mExecuted = true;
    }
  }
}

}  // namespace papayawheel
