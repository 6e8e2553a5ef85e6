#include "model/gateway_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/parse_number.h"

namespace papayawheel::model {
namespace {

/** Standard deviation of the logarithm of the service time in a class. */
constexpr double kServiceTimeSpread = 0.3;

constexpr double kMicrosPerSecond = 1e6;

Duration Micros(double aMicros) {
  return Duration(static_cast<std::int64_t>(aMicros));
}

}  // namespace

double ModelTally::InTargetShare() const {
  return mRequests == 0
             ? 0
             : static_cast<double>(mInTarget) / static_cast<double>(mRequests);
}

GatewayModel::GatewayModel(ModelSettings aSettings)
    : mSettings(std::move(aSettings)),
      mStart(mEvents.Now()),
      mRandom(mSettings.mSeed) {
  for (std::size_t index = 0; index < mSettings.mEndpoints; ++index) {
    mEndpoints.push_back(std::make_unique<ModelEndpoint>(
        mEvents, mSettings.mTraits, static_cast<std::uint32_t>(mRandom())));
  }
  const auto view = MakeView();
  for (std::size_t index = 0; index < mSettings.mHosts; ++index) {
    Host host;
    host.mEngine = std::make_unique<GatewayEngine>(
        fmt::format("dc{}", index % mSettings.mDataCentres),
        static_cast<std::uint32_t>(mRandom()));
    host.mEngine->SetRetryBudget(mSettings.mBudget, mSettings.mHosts);
    host.mEngine->SetProbeBudget(mSettings.mProbeBudget, mSettings.mHosts,
                                 mEvents.Now());
    host.mEngine->Apply(view, mEvents.Now());
    host.mEngine->SetViewFresh(true, mEvents.Now());
    mHosts.push_back(std::move(host));
  }
  for (std::size_t index = 0; index < mSettings.mClasses.size(); ++index) {
    ScheduleArrival(index);
  }
}

std::shared_ptr<RoutingView> GatewayModel::MakeView() const {
  auto source = std::make_shared<RoutingConfiguration>();
  source->mVersion = 1;
  source->mServices.emplace(kService,
                            ServiceSettings{kService, "/health", 300});
  for (const RequestClass& requestClass : mSettings.mClasses) {
    source->mRoutes.push_back(requestClass.mRoute);
  }
  auto endpoints = std::make_shared<EndpointMap>();
  for (std::size_t index = 0; index < mSettings.mEndpoints; ++index) {
    EndpointEntry entry;
    entry.mId = fmt::format("e{}", index);
    entry.mService = kService;
    entry.mAddress = fmt::format("10.0.0.{}:80", index + 1);
    entry.mDataCentre = fmt::format("dc{}", index % mSettings.mDataCentres);
    entry.mSlots = mSettings.mTraits.mSlots;
    endpoints->emplace(entry.mId, entry);
  }
  auto view = std::make_shared<RoutingView>();
  view->mRoutes = std::make_shared<RouteTable>(source);
  view->mEndpoints = endpoints;
  view->mRevision = 1;
  return view;
}

std::size_t GatewayModel::IndexOf(const std::string& aEndpoint) {
  return *ParseNumber<std::size_t>(aEndpoint.substr(1));
}

void GatewayModel::Run(Duration aTime) {
  mEvents.RunUntil(mEvents.Now() + aTime);
}

void GatewayModel::At(Duration aFromStart, std::function<void()> aEvent) {
  mEvents.At(mStart + aFromStart, std::move(aEvent));
}

void GatewayModel::ResetTally() {
  mTally.clear();
  mChoices = ChoiceTally{};
  ++mEpoch;
}

void GatewayModel::ScheduleArrival(std::size_t aClass) {
  const RequestClass& requestClass = mSettings.mClasses.at(aClass);
  const double perSecond = requestClass.mPerSecond * mRate;
  const double gap = std::exponential_distribution<double>(perSecond)(mRandom);
  mEvents.After(Micros(gap * kMicrosPerSecond), [this, aClass] {
    const RequestClass& requestClass = mSettings.mClasses.at(aClass);
    const auto caller = std::make_shared<Caller>();
    caller->mClass = aClass;
    caller->mRequestedAt = mEvents.Now();
    caller->mRetriesLeft = requestClass.mRetries;
    caller->mEpoch = mEpoch;
    const double spread =
        std::lognormal_distribution<double>(0, kServiceTimeSpread)(mRandom);
    caller->mServiceTime =
        Micros(static_cast<double>(requestClass.mServiceTime.count()) * spread);
    ++mTally[requestClass.mRoute.mName].mRequests;
    SendRequest(caller);
    ScheduleArrival(aClass);
  });
}

void GatewayModel::SendRequest(const std::shared_ptr<Caller>& aCaller) {
  const std::size_t index =
      std::uniform_int_distribution<std::size_t>(0, mHosts.size() - 1)(mRandom);
  Host& host = mHosts.at(index);
  const RequestClass& requestClass = mSettings.mClasses.at(aCaller->mClass);
  const CallId id = ++mLastCall;
  GatewayRequest request;
  request.mRequestId = fmt::format("{:x}", id);
  request.mMethod =
      requestClass.mRoute.mKind == RouteKind::Idempotent ? "GET" : "POST";
  request.mHost = requestClass.mRoute.mHost;
  request.mTarget = requestClass.mRoute.mPrefix + fmt::format("{}", id);
  request.mCallerTimeout = std::chrono::duration_cast<Duration>(
      aCaller->mRequestedAt + requestClass.mRequestTimeout - mEvents.Now());
  host.mCallers[id] = aCaller;
  aCaller->mSent = false;
  Perform(index, host.mEngine->Arrive(id, request, mEvents.Now()));
}

void GatewayModel::Perform(std::size_t aHost, const GatewayActions& aActions) {
  Host& host = mHosts.at(aHost);
  for (const GatewayAction& action : aActions) {
    if (const auto* const answer = std::get_if<GatewayAnswer>(&action)) {
      Answer(aHost, *answer);
    } else if (const auto* const start = std::get_if<StartAttempt>(&action)) {
      Send(aHost, *start);
    } else if (const auto* const probe = std::get_if<StartProbe>(&action)) {
      Probe(aHost, *probe);
    } else if (const auto* const cancel = std::get_if<CancelAttempt>(&action)) {
      const auto attempt = host.mAttempts.at(cancel->mAttempt);
      host.mAttempts.erase(cancel->mAttempt);
      attempt->mCancelled = true;
      mEvents.After(mSettings.mOneWayDelay, [this, attempt] {
        mEndpoints.at(attempt->mEndpoint)->Cancel(attempt->mJob);
      });
    }
  }
  ScheduleTick(aHost);
}

void GatewayModel::ScheduleTick(std::size_t aHost) {
  Host& host = mHosts.at(aHost);
  const auto due = host.mEngine->NextDue();
  const bool scheduled =
      host.mTickAt > mEvents.Now() && due && host.mTickAt <= *due;
  if (!due || scheduled) {
    return;
  }
  host.mTickAt = std::max(*due, mEvents.Now());
  mEvents.At(host.mTickAt, [this, aHost] {
    Host& tickingHost = mHosts.at(aHost);
    tickingHost.mTickAt = TimePoint{};
    Perform(aHost, tickingHost.mEngine->Tick(mEvents.Now()));
  });
}

void GatewayModel::Send(std::size_t aHost, const StartAttempt& aStart) {
  const auto attempt = std::make_shared<ModelAttempt>();
  attempt->mEndpoint = IndexOf(aStart.mEndpoint);
  mHosts.at(aHost).mAttempts[aStart.mAttempt] = attempt;
  Caller& caller = *mHosts.at(aHost).mCallers.at(aStart.mCall);
  attempt->mFirst = !std::exchange(caller.mSent, true);
  const Duration work = caller.mServiceTime;
  mEvents.After(mSettings.mOneWayDelay, [this, aHost, aStart, attempt, work] {
    if (attempt->mCancelled) {
      return;
    }
    if (attempt->mFirst) {
      CountChoice(aHost, attempt->mEndpoint);
    }
    attempt->mJob =
        mEndpoints.at(attempt->mEndpoint)
            ->Arrive(work, [this, aHost, aStart, attempt](ModelOutcome aOutcome,
                                                          LoadSample aSample) {
              mEvents.After(mSettings.mOneWayDelay, [=, this] {
                Host& host = mHosts.at(aHost);
                if (attempt->mCancelled) {
                  return;
                }
                host.mAttempts.erase(aStart.mAttempt);
                AttemptReply reply;
                if (aOutcome == ModelOutcome::NotConnected) {
                  reply.mResult = AttemptResult::NotConnected;
                } else if (aOutcome == ModelOutcome::NotExecuted) {
                  reply.mResult = AttemptResult::NotExecuted;
                  reply.mSample = aSample;
                } else {
                  auto response = std::make_shared<Response>();
                  response->mStatus =
                      aOutcome == ModelOutcome::Failed ? 500 : 200;
                  reply.mResult = AttemptResult::Answered;
                  reply.mSample = aSample;
                  reply.mResponse = std::move(response);
                }
                Perform(aHost, host.mEngine->AttemptEnded(
                                   aStart.mAttempt, reply, mEvents.Now()));
              });
            });
  });
}

void GatewayModel::CountChoice(std::size_t aHost, std::size_t aEndpoint) {
  ++mChoices.mFirstAttempts;
  const bool busy = mEndpoints.at(aEndpoint)->IsBusy();
  const bool slowed = mEndpoints.at(aEndpoint)->IsSlowed();
  if (!busy && !slowed) {
    return;
  }
  mChoices.mAtBusy += busy ? 1 : 0;
  mChoices.mAtSlowed += slowed ? 1 : 0;
  bool anyReady = false;
  bool nearReady = false;
  for (std::size_t index = 0; index < mEndpoints.size(); ++index) {
    ModelEndpoint& endpoint = *mEndpoints[index];
    const bool ready = !endpoint.IsDown() && !endpoint.IsSilent() &&
                       !endpoint.IsBusy() && !endpoint.IsSlowed();
    anyReady = anyReady || ready;
    nearReady = nearReady || (ready && index % mSettings.mDataCentres ==
                                           aHost % mSettings.mDataCentres);
  }
  mChoices.mRegretted += anyReady ? 1 : 0;
  mChoices.mRegrettedNear += nearReady ? 1 : 0;
}

void GatewayModel::Probe(std::size_t aHost, const StartProbe& aProbe) {
  mEvents.After(mSettings.mOneWayDelay, [this, aHost, aProbe] {
    ModelEndpoint& endpoint = *mEndpoints.at(IndexOf(aProbe.mEndpoint));
    if (endpoint.IsSilent()) {
      return;
    }
    ProbeReply reply;
    reply.mLiveness =
        endpoint.IsDown() ? EndpointLiveness::Refused : EndpointLiveness::Alive;
    if (!endpoint.IsDown()) {
      reply.mSample = endpoint.Load();
    }
    mEvents.After(mSettings.mOneWayDelay, [this, aHost, aProbe, reply] {
      Perform(aHost, mHosts.at(aHost).mEngine->ProbeEnded(aProbe.mProbe, reply,
                                                          mEvents.Now()));
    });
  });
}

void GatewayModel::Answer(std::size_t aHost, const GatewayAnswer& aAnswer) {
  Host& host = mHosts.at(aHost);
  const auto found = host.mCallers.find(aAnswer.mCall);
  const auto caller = found->second;
  host.mCallers.erase(found);
  const RequestClass& requestClass = mSettings.mClasses.at(caller->mClass);
  const bool answered =
      aAnswer.mResponse != nullptr && aAnswer.mResponse->mStatus == 200;
  const bool refused = aAnswer.mResponse == nullptr &&
                       AnswerOf(aAnswer.mError).mOutcome == Outcome::NotRun;
  const bool mayRetry =
      refused || requestClass.mRoute.mKind == RouteKind::Idempotent;
  const auto left =
      caller->mRequestedAt + requestClass.mRequestTimeout - mEvents.Now();
  if (!answered && mayRetry && caller->mRetriesLeft > 0 &&
      left > Duration::zero()) {
    --caller->mRetriesLeft;
    const Duration maxDelay = std::chrono::duration_cast<Duration>(left) / 3;
    mEvents.After(std::min(aAnswer.mRetryAfter, maxDelay),
                  [this, caller] { SendRequest(caller); });
    return;
  }
  Count(caller, aAnswer);
}

void GatewayModel::Count(const std::shared_ptr<Caller>& aCaller,
                         const GatewayAnswer& aAnswer) {
  if (aCaller->mEpoch != mEpoch) {
    return;
  }
  const RequestClass& requestClass = mSettings.mClasses.at(aCaller->mClass);
  ModelTally& tally = mTally[requestClass.mRoute.mName];
  const auto took = std::chrono::duration_cast<Duration>(mEvents.Now() -
                                                         aCaller->mRequestedAt);
  if (aAnswer.mResponse != nullptr && aAnswer.mResponse->mStatus == 200) {
    ++(took <= requestClass.mRoute.mTargetLatency ? tally.mInTarget
                                                  : tally.mLate);
  } else if (aAnswer.mResponse == nullptr &&
             AnswerOf(aAnswer.mError).mOutcome == Outcome::NotRun) {
    ++tally.mRefused;
    tally.mMaxTimeToRefusal = std::max(tally.mMaxTimeToRefusal, took);
  } else {
    ++tally.mFailed;
  }
}

std::uint64_t GatewayModel::Arrivals() const {
  std::uint64_t arrivals = 0;
  for (const auto& endpoint : mEndpoints) {
    arrivals += endpoint->Arrivals();
  }
  return arrivals;
}

std::uint64_t GatewayModel::Retries() const {
  std::uint64_t retries = 0;
  for (const Host& host : mHosts) {
    retries += host.mEngine->Counts().mRetries + host.mEngine->Counts().mHedges;
  }
  return retries;
}

std::uint64_t GatewayModel::Probes() const {
  std::uint64_t probes = 0;
  for (const Host& host : mHosts) {
    probes += host.mEngine->Counts().mProbes;
  }
  return probes;
}

}  // namespace papayawheel::model
