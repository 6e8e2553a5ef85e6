#include "servers/gateway_traffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <exception>
#include <random>
#include <utility>

#include "core/config/address.h"
#include "drivers/guarded_run.h"
#include "drivers/log.h"
#include "platform/caller_protocol.h"
#include "platform/protocol_names.h"
#include "servers/gateway_messages.h"
#include "servers/http_status.h"
#include "servers/query.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** How long callers may cache an answer of the directory. Some callers keep it
 * three times as long, so a host that drains must run for longer than that. */
constexpr milliseconds kDirectoryTtl{1500};

/** A host is drained when no request or unsent answer was seen for this long: a
 * caller may have sent a request before it learnt that the host drains. */
constexpr milliseconds kDrainIdlePeriod{150};
constexpr milliseconds kIdleCheckInterval{50};

/** Idle connections of callers are closed after this time. The operator's limit
 * is well below it, so callers usually close them first. */
constexpr std::chrono::seconds kIdleTimeout{120};

/** A caller that takes nothing of its answer for this long is cut off. */
constexpr std::chrono::seconds kWriteTimeout{30};

/** Limit on the bodies of requests that have none in ordinary use. */
constexpr std::size_t kMaxLookUpBody = 64U << 10U;

/** Returns the record of this host for the directory of fronts. */
MemberRecord SelfAsFront(const GatewaySettings& aSettings) {
  MemberRecord self;
  self.mName = aSettings.mName;
  self.mDataCentre = aSettings.mDataCentre;
  self.mFrontAddress = aSettings.mFrontAddress;
  self.mState = MemberState::Ready;
  self.mCapacity = aSettings.mCapacity;
  return self;
}

}  // namespace

GatewayTraffic::GatewayTraffic(const GatewaySettings& aSettings,
                               const Clock& aClock, TrafficHooks aHooks)
    : mSettings(aSettings),
      mClock(aClock),
      mHooks(std::move(aHooks)),
      mClient(mContext, aSettings.mAnswerLimits),
      mEngine(aSettings.mDataCentre, std::random_device{}()),
      mFronts(SelfAsFront(aSettings)),
      mLastIteration(aClock.Now()) {
  mEngine.SetRetryBudget(aSettings.mRetryBudget, 1);
  mEngine.SetHedgeLimit(aSettings.mHedgeLimit);
  mEngine.SetProbeBudget(aSettings.mProbeBudget, 1, aClock.Now());
  mEngine.StartWarmUpLimits(aSettings.mWarmUpTerms, aSettings.mName,
                            aClock.Now());
}

bool GatewayTraffic::Start() {
  if (!OpenServers()) {
    return false;
  }
  RunIteration();
  return true;
}

bool GatewayTraffic::OpenServers() {
  struct Listener {
    std::string mAddress;
    HttpServer::Handler mHandler;
    HttpServer::ClosedHandler mClosed;
    std::size_t mMaxBody;
    std::size_t mMaxConnections;
  };
  const CallerLimits& limits = mSettings.mCallerLimits;
  const auto memory = MakeHttpMemory(limits.mTraffic);
  const std::vector<Listener> listeners = {
      {mSettings.mFrontAddress,
       [this](const HttpExchangePtr& aExchange) { HandleRequest(aExchange); },
       [this](std::uint64_t aConnection) { CallerClosed(aConnection); },
       kMaxCallerBody, limits.mFrontConnections},
      {mSettings.mReadyAddress,
       [this](const HttpExchangePtr& aExchange) { AnswerReadiness(aExchange); },
       {},
       kMaxLookUpBody,
       limits.mReadyConnections},
      {mSettings.mDirectoryAddress,
       [this](const HttpExchangePtr& aExchange) { AnswerDirectory(aExchange); },
       {},
       kMaxLookUpBody,
       limits.mDirectoryConnections}};
  for (const Listener& listener : listeners) {
    const Address address = *ParseAddress(listener.mAddress);
    HttpServerSettings settings;
    settings.mIp = address.mIp;
    settings.mPort = address.mPort;
    settings.mMaxBody = listener.mMaxBody;
    settings.mMaxConnections = listener.mMaxConnections;
    settings.mMemory = memory;
    settings.mIdleTimeout = kIdleTimeout;
    settings.mWriteTimeout = kWriteTimeout;
    mServers.push_back(std::make_unique<HttpServer>(
        mContext, settings, listener.mHandler, listener.mClosed));
    if (!mServers.back()->Start()) {
      mLastError = mServers.back()->LastError();
      return false;
    }
  }
  return true;
}

void GatewayTraffic::Run() { RunGuarded(mContext, "traffic"); }

void GatewayTraffic::Stop() { mContext.stop(); }

void GatewayTraffic::SetView(std::shared_ptr<const RoutingView> aView) {
  asio::post(mContext, [this, view = std::move(aView)] {
    EvictRemovedEndpoints(*view->mEndpoints);
    mView = view;
    ApplyRequestLimits();
    mEngine.Apply(view, mClock.Now());
  });
}

void GatewayTraffic::ApplyRequestLimits() {
  if (mView->mRoutes == nullptr || !mView->mRoutes->Source().mLimits.mIsSet) {
    return;
  }
  const RequestLimits& limits = mView->mRoutes->Source().mLimits;
  // The first server is the one for callers.
  mServers.front()->SetRequestLimits(
      std::min(limits.mMaxBodyBytes, kMaxCallerBody), limits.mHeaderTimeout);
}

void GatewayTraffic::EvictRemovedEndpoints(const EndpointMap& aNow) {
  if (mView == nullptr) {
    return;
  }
  for (const auto& [id, entry] : *mView->mEndpoints) {
    const auto found = aNow.find(id);
    if (found == aNow.end() || !IsSameStart(found->second, entry)) {
      mClient.CloseIdle(id);
    }
  }
}

void GatewayTraffic::SetViewFreshness(bool aIsFresh) {
  asio::post(mContext, [this, aIsFresh] {
    Perform(mEngine.SetViewFresh(aIsFresh, mClock.Now()));
  });
}

void GatewayTraffic::SetMembers(std::vector<MemberRecord> aReachable,
                                std::vector<std::string> aKnown) {
  asio::post(mContext, [this, members = std::move(aReachable),
                        known = std::move(aKnown)] {
    const TimePoint now = mClock.Now();
    mFronts.SetOthers(members);
    mEngine.SetRetryBudget(mSettings.mRetryBudget, known.size());
    mEngine.SetKnownHosts(known, now);
    LimitSharers sharers{mSettings.mFrontAddress, {}};
    for (const MemberRecord& host : mFronts.Selected(now)) {
      sharers.mHosts.push_back(
          CallerHost{host.mFrontAddress, host.mDataCentre});
    }
    mEngine.SetProbeBudget(mSettings.mProbeBudget, sharers.mHosts.size(), now);
    mEngine.SetLimitSharers(std::move(sharers), now);
    MemberRecord self = SelfAsFront(mSettings);
    Perform(mEngine.SetServicesToCheck(ServicesToCheck(self, members), now));
  });
}

void GatewayTraffic::NoteCrash(const CrashRecord& aCrash) {
  asio::post(mContext, [this, aCrash] {
    mEngine.NoteRemoteCrash(aCrash, mClock.Now());
    LogCrashEvents();
  });
}

void GatewayTraffic::Drain() {
  asio::post(mContext, [this] {
    if (mDraining) {
      return;
    }
    mDraining = true;
    mDrainSchedule.emplace(mClock.Now(), mSettings.mGracePeriod);
    mEngine.AcceptUntil(mDrainSchedule->GivesUpAt());
    Log(LogLevel::Info, "stopping", {{"in_flight", mEngine.InFlight()}});
    mHooks.mDraining();
    RunIteration();
  });
}

bool GatewayTraffic::IsReady() const {
  return mView != nullptr && mView->mRoutes != nullptr && !mDraining;
}

void GatewayTraffic::HandleRequest(const HttpExchangePtr& aExchange) {
  CheckForSuspension();
  const CallId id = ++mLastCall;
  const GatewayRequest request = ReadGatewayRequest(*aExchange);
  const TimePoint now = mClock.Now();
  mExchanges[id] = Exchange{aExchange, request.mRequestId, now};
  mConnectionCalls.Add(aExchange->ConnectionId(), id);
  Perform(mEngine.Arrive(id, request, now));
}

void GatewayTraffic::AnswerReadiness(const HttpExchangePtr& aExchange) {
  HttpReply reply;
  reply.mContentType = "text/plain";
  if (PathOf(aExchange->Target()) != platform::kReadinessPath) {
    reply.mStatus = http_status::kNotFound;
  } else {
    reply.mStatus = IsReady() ? http_status::kOk : http_status::kUnavailable;
  }
  aExchange->Reply(reply);
}

void GatewayTraffic::AnswerDirectory(const HttpExchangePtr& aExchange) {
  const auto query = platform::ParseResolve(aExchange->Target());
  HttpReply reply;
  if (!query) {
    reply.mStatus = http_status::kNotFound;
    aExchange->Reply(reply);
    return;
  }
  mFronts.SetServing(IsReady());
  const auto addresses = mFronts.Select(query->mDataCentre, mClock.Now());
  NoteSelection(query->mDataCentre, addresses);
  reply.mStatus =
      addresses.empty() ? http_status::kUnavailable : http_status::kOk;
  reply.mBody = platform::RenderResolve(
      addresses, std::min(kDirectoryTtl, mSettings.mMaxDirectoryTtl));
  reply.mClose = mDraining;
  aExchange->Reply(reply);
}

void GatewayTraffic::CallerClosed(std::uint64_t aConnection) {
  for (const CallId id : mConnectionCalls.Take(aConnection)) {
    if (mExchanges.erase(id) > 0) {
      Perform(mEngine.CallerDisconnected(id, mClock.Now()));
    }
  }
}

void GatewayTraffic::Perform(const GatewayActions& aActions) {
  for (const GatewayAction& action : aActions) {
    if (const auto* const answer = std::get_if<GatewayAnswer>(&action)) {
      Answer(*answer);
    } else if (const auto* const start = std::get_if<StartAttempt>(&action)) {
      StartSending(*start);
    } else if (const auto* const probe = std::get_if<StartProbe>(&action)) {
      Probe(*probe);
    } else if (const auto* const stop = std::get_if<CancelProbe>(&action)) {
      Cancel(mProbeRequests, stop->mProbe);
    } else if (const auto* const cancel = std::get_if<CancelAttempt>(&action)) {
      Cancel(mAttemptRequests, cancel->mAttempt);
    }
  }
  LogCrashEvents();
  LogHedges();
  PublishReach();
  if (const auto crashes = mEngine.TakeCrashes(); !crashes.empty()) {
    mHooks.mCrashesDetected(crashes);
  }
  CheckDone();
  const auto due = mEngine.NextDue();
  if (due && *due < mTimerDue) {
    ScheduleIteration();
  }
}

void GatewayTraffic::Cancel(Requests& aRequests, std::uint64_t aId) {
  const auto found = aRequests.find(aId);
  if (found != aRequests.end()) {
    mClient.Cancel(found->second);
    aRequests.erase(found);
  }
}

void GatewayTraffic::Answer(const GatewayAnswer& aAnswer) {
  const auto found = mExchanges.find(aAnswer.mCall);
  if (found == mExchanges.end()) {
    return;
  }
  const Exchange exchange = std::move(found->second);
  mExchanges.erase(found);
  mConnectionCalls.Remove(exchange.mHttp->ConnectionId(), aAnswer.mCall);
  HttpReply reply = WriteGatewayReply(aAnswer);
  // A caller finds a host that reaches the endpoints by a new connection.
  reply.mClose = mDraining || !mReach.mLost.empty();
  LogAnswer(exchange, aAnswer, reply);
  exchange.mHttp->Reply(reply);
}

void GatewayTraffic::StartSending(const StartAttempt& aStart) {
  const auto found = mExchanges.find(aStart.mCall);
  if (found == mExchanges.end()) {
    return;
  }
  LogRoutine("attempt_started",
             {{"request", found->second.mRequestId},
              {"endpoint", aStart.mEndpoint},
              {"address", aStart.mAddress},
              {"expected_us", aStart.mExpected.count()},
              {"slowdown", fmt::format("{:.2f}", aStart.mSlowdown)},
              {"time_left_us", aStart.mTimeLeft.count()}});
  const auto id =
      mClient.Send(WriteEndpointRequest(found->second.mHttp, aStart),
                   [this, aStart](const EndpointAnswer& aAnswer) {
                     AttemptEnded(aStart, aAnswer);
                   });
  mAttemptRequests[aStart.mAttempt] = id;
}

void GatewayTraffic::Probe(const StartProbe& aProbe) {
  const auto id = mClient.Send(
      WriteProbe(aProbe), [this, aProbe](const EndpointAnswer& aAnswer) {
        mProbeRequests.erase(aProbe.mProbe);
        const ProbeReply reply = ReadProbeAnswer(aProbe.mEndpoint, aAnswer);
        LogNotice(aProbe.mEndpoint, reply.mNotice);
        Perform(mEngine.ProbeEnded(aProbe.mProbe, reply, mClock.Now()));
      });
  mProbeRequests[aProbe.mProbe] = id;
}

void GatewayTraffic::AttemptEnded(const StartAttempt& aStart,
                                  const EndpointAnswer& aAnswer) {
  CheckForSuspension();
  mAttemptRequests.erase(aStart.mAttempt);
  const AttemptReply reply = ReadEndpointAnswer(aAnswer);
  if (reply.mResult != AttemptResult::Answered) {
    const auto exchange = mExchanges.find(aStart.mCall);
    Log(LogLevel::Info, "attempt_failed",
        {{"request", exchange == mExchanges.end()
                         ? std::string()
                         : exchange->second.mRequestId},
         {"endpoint", aStart.mEndpoint},
         {"address", aStart.mAddress},
         {"result", AttemptResultName(reply.mResult)},
         {"fingerprint", fmt::format("{:016x}", aStart.mFingerprint)},
         {"reason", aAnswer.mReason}});
  }
  LogNotice(aStart.mEndpoint, reply.mNotice);
  Perform(mEngine.AttemptEnded(aStart.mAttempt, reply, mClock.Now()));
}

void GatewayTraffic::RunIteration() {
  CheckForSuspension();
  const TimePoint now = mClock.Now();
  mLastIteration = now;
  if (mDrainSchedule && now >= mDrainSchedule->RefusesFrom()) {
    mEngine.StopAccepting();
  }
  if (mDrainSchedule && now >= mDrainSchedule->GivesUpAt() && !mHasGivenUp) {
    mHasGivenUp = true;
    mEngine.StopAccepting();
    Log(LogLevel::Warning, "stop_gives_up",
        {{"in_flight", mEngine.InFlight()}});
    Perform(mEngine.EndAllCalls(now));
  }
  Perform(mEngine.Tick(now));
  MeasureLoad(now);
  LogColdEndpoints(now);
  ScheduleIteration();
}

void GatewayTraffic::MeasureLoad(TimePoint aNow) {
  const EndpointClientCounts& counts = mClient.Counts();
  const auto load = mLoadMeter.Measure(
      LoadMeter::Totals{mEngine.Counts().mArrived, counts.mBytesRead,
                        counts.mBytesWritten},
      aNow);
  if (load) {
    mFronts.SetLoad(*load);
    mHooks.mLoadMeasured(*load);
  }
}

void GatewayTraffic::ScheduleIteration() {
  const TimePoint now = mClock.Now();
  mTimerDue = now + kMaxIterationInterval;
  if (const auto due = mEngine.NextDue()) {
    mTimerDue = std::min(mTimerDue, std::max(*due, now));
  }
  if (mDraining && !mDone) {
    mTimerDue = std::min<TimePoint>(mTimerDue, now + kIdleCheckInterval);
  }
  mTimer.expires_after(mTimerDue - now);
  AwaitIteration();
}

void GatewayTraffic::AwaitIteration() {
  mTimer.async_wait([this](asio::error_code aError) {
    if (aError) {
      return;
    }
    try {
      RunIteration();
    } catch (const std::exception&) {
      // The event loop must continue after an iteration that failed.
      mTimer.expires_after(kMaxIterationInterval);
      AwaitIteration();
      throw;
    }
  });
}

void GatewayTraffic::CheckForSuspension() {
  const TimePoint now = mClock.Now();
  if (now - mLastIteration <= kSuspensionThreshold) {
    return;
  }
  mLastIteration = now;
  mEngine.StartWarmUpLimits(mSettings.mWarmUpTerms, mSettings.mName, now);
  Perform(mEngine.SetViewFresh(false, now));
  mHooks.mSuspended();
}

bool GatewayTraffic::IsIdle() const {
  const bool allSent =
      std::all_of(mServers.begin(), mServers.end(),
                  [](const auto& aServer) { return aServer->Unsent() == 0; });
  return allSent && mEngine.InFlight() == 0;
}

void GatewayTraffic::CheckDone() {
  if (!mDraining || mDone) {
    return;
  }
  const TimePoint now = mClock.Now();
  if (!IsIdle()) {
    mBusyAt = now;
  }
  const bool idle =
      now >= mDrainSchedule->RefusesFrom() && now - mBusyAt >= kDrainIdlePeriod;
  const bool ends = now >= mDrainSchedule->EndsFrom() && IsIdle();
  if (idle || ends || now >= mDrainSchedule->EndsAt()) {
    mDone = true;
    mHooks.mDone();
  }
}

}  // namespace papayawheel
