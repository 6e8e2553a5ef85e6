#include "tests/core/crash_fleet.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/base/parse_number.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

constexpr const char* kService = "service";
constexpr milliseconds kHostDelay{2};
constexpr milliseconds kEndpointDelay{1};
constexpr milliseconds kWork{50};
/** Time from the start of a request for kCrashingTarget to the crash. */
constexpr milliseconds kTimeToCrash{20};
constexpr milliseconds kDownTime{3000};
constexpr milliseconds kConnectTimeout{250};
/** Time until an entry that is not renewed is removed, and until hosts see the
 * change. */
constexpr milliseconds kEntryExpiry{4500};
constexpr milliseconds kPublishDelay{60};
constexpr milliseconds kMaxGossipInterval{400};
/** Time after which a reconnected host is expected to have all records. */
constexpr milliseconds kRejoinTime{3000};
constexpr std::size_t kSeeds = 3;
constexpr std::uint32_t kSlots = 6;

Route MakeRoute(const char* aHost, RouteKind aKind) {
  Route route;
  route.mName = aHost;
  route.mHost = aHost;
  route.mPrefix = "/";
  route.mKind = aKind;
  route.mTimeout = milliseconds(1500);
  route.mTargetLatency = milliseconds(600);
  route.mMaxAttempts = 2;
  route.mShares = {ServiceShare{kService, 1}};
  return route;
}

std::string AddressOf(std::size_t aHost) { return fmt::format("h{}:1", aHost); }

}  // namespace

CrashFleet::CrashFleet(const CrashFleetTerms& aTerms, std::uint32_t aSeed)
    : mTerms(aTerms),
      mRandom(aSeed),
      mHosts(aTerms.mHosts),
      mEndpoints(aTerms.mEndpoints) {
  auto source = std::make_shared<RoutingConfiguration>();
  source->mVersion = 1;
  source->mRoutes = {MakeRoute(kSafeHost, RouteKind::Idempotent),
                     MakeRoute(kOnceHost, RouteKind::AtMostOnce)};
  source->mServices.emplace(kService,
                            ServiceSettings{kService, "/health", 300});
  mRoutes = std::make_shared<RouteTable>(source);
  for (std::size_t index = 0; index < mEndpoints.size(); ++index) {
    EndpointEntry& entry = mEndpoints[index].mEntry;
    entry.mId = fmt::format("e{}", index);
    entry.mService = kService;
    entry.mAddress = fmt::format("e{}:1", index);
    entry.mDataCentre = fmt::format("dc{}", index % mTerms.mDataCentres);
    entry.mSlots = kSlots;
    entry.mIncarnation = ++mLastIncarnation;
    mPublished.emplace(entry.mId, entry);
  }
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    Start(host);
  }
}

std::size_t CrashFleet::IndexOf(const std::string& aAddress) {
  return *ParseNumber<std::size_t>(aAddress.substr(1, aAddress.find(':') - 1));
}

void CrashFleet::Start(std::size_t aHost) {
  Host& host = mHosts[aHost];
  ++host.mStarts;
  host.mTargets.clear();
  host.mTickAt = TimePoint{};
  host.mGossipTickAt = TimePoint{};
  MemberRecord self;
  self.mName = fmt::format("h{}", aHost);
  self.mDataCentre = fmt::format("dc{}", aHost % mTerms.mDataCentres);
  self.mGossipAddress = AddressOf(aHost);
  self.mControlAddress = AddressOf(aHost);
  self.mFrontAddress = AddressOf(aHost);
  self.mIncarnation =
      static_cast<std::uint64_t>(mEvents.Now().time_since_epoch().count()) +
      host.mStarts;
  self.mState = MemberState::Ready;
  host.mGossip = std::make_unique<GossipEngine>(
      self, static_cast<std::uint32_t>(mRandom()));
  std::vector<std::string> seeds;
  for (std::size_t seed = 0; seed < std::min(kSeeds, mHosts.size()); ++seed) {
    seeds.push_back(AddressOf(seed));
  }
  host.mGossip->SetSeeds(seeds);
  host.mEngine = std::make_unique<GatewayEngine>(
      self.mDataCentre, static_cast<std::uint32_t>(mRandom()));
  host.mEngine->SetRetryBudget(
      RetryBudgetTerms{0.2, 75, std::chrono::seconds(10)}, mHosts.size());
  auto view = std::make_shared<RoutingView>();
  view->mRoutes = mRoutes;
  view->mEndpoints = std::make_shared<EndpointMap>(mPublished);
  host.mEngine->Apply(view, mEvents.Now());
  Act(aHost, host.mEngine->SetViewFresh(true, mEvents.Now()));
  GossipTick(aHost);
}

void CrashFleet::Isolate(std::size_t aHost, bool aIsolated) {
  mHosts[aHost].mIsolated = aIsolated;
  mHosts[aHost].mReconnectedAt = mEvents.Now();
}

void CrashFleet::Restart(std::size_t aHost) { Start(aHost); }

void CrashFleet::Run(Duration aTime) {
  mEvents.RunUntil(mEvents.Now() + aTime);
}

void CrashFleet::SendRequest(std::size_t aHost, const std::string& aRouteHost,
                             const std::string& aTarget) {
  Host& host = mHosts[aHost];
  const CallId id = ++host.mLastCall;
  host.mTargets[id] = aTarget;
  mOthers += aTarget == kCrashingTarget ? 0 : 1;
  GatewayRequest request;
  request.mRequestId = fmt::format("{}/{}", aHost, id);
  request.mMethod = aRouteHost == kSafeHost ? "GET" : "POST";
  request.mHost = aRouteHost;
  request.mTarget = aTarget;
  Act(aHost, host.mEngine->Arrive(id, request, mEvents.Now()));
}

std::size_t CrashFleet::SentAfter(TimePoint aTime) const {
  return static_cast<std::size_t>(
      std::count_if(mCrashingSends.begin(), mCrashingSends.end(),
                    [aTime](TimePoint aSent) { return aSent > aTime; }));
}

void CrashFleet::Publish() {
  mEvents.After(kPublishDelay, [this] {
    auto view = std::make_shared<RoutingView>();
    view->mRoutes = mRoutes;
    view->mEndpoints = std::make_shared<EndpointMap>(mPublished);
    for (Host& host : mHosts) {
      host.mEngine->Apply(view, mEvents.Now());
    }
  });
}

void CrashFleet::Act(std::size_t aHost, const GatewayActions& aActions) {
  Host& host = mHosts[aHost];
  for (const GatewayAction& action : aActions) {
    if (const auto* const answer = std::get_if<GatewayAnswer>(&action)) {
      const bool isOther = host.mTargets[answer->mCall] != kCrashingTarget;
      mOthersAnswered += isOther && answer->mResponse != nullptr ? 1 : 0;
      host.mTargets.erase(answer->mCall);
    } else if (const auto* const start = std::get_if<StartAttempt>(&action)) {
      Attempt(aHost, *start);
    } else if (const auto* const probe = std::get_if<StartProbe>(&action)) {
      Probe(aHost, *probe);
    }
  }
  const auto crashes = host.mEngine->TakeCrashes();
  if (!crashes.empty()) {
    Send(aHost, host.mGossip->BroadcastCrashes(crashes, mEvents.Now()));
  }
  ScheduleTick(aHost);
}

void CrashFleet::ScheduleTick(std::size_t aHost) {
  Host& host = mHosts[aHost];
  const auto due = host.mEngine->NextDue();
  const bool scheduled =
      host.mTickAt > mEvents.Now() && due && host.mTickAt <= *due;
  if (!due || scheduled) {
    return;
  }
  host.mTickAt = std::max(*due, mEvents.Now());
  mEvents.At(host.mTickAt, [this, aHost, starts = host.mStarts] {
    if (IsSameProcess(aHost, starts)) {
      mHosts[aHost].mTickAt = TimePoint{};
      Act(aHost, mHosts[aHost].mEngine->Tick(mEvents.Now()));
    }
  });
}

void CrashFleet::GossipTick(std::size_t aHost) {
  Host& host = mHosts[aHost];
  Send(aHost, host.mGossip->Tick(mEvents.Now()));
  host.mGossipTickAt =
      std::clamp<TimePoint>(host.mGossip->NextDue(), mEvents.Now() + kHostDelay,
                            mEvents.Now() + kMaxGossipInterval);
  mEvents.At(host.mGossipTickAt, [this, aHost, starts = host.mStarts] {
    if (IsSameProcess(aHost, starts)) {
      GossipTick(aHost);
    }
  });
}

void CrashFleet::Send(std::size_t aFrom, const Datagrams& aDatagrams) {
  std::uniform_real_distribution<double> draw(0, 1);
  std::uniform_int_distribution<int> delay(0, 3);
  for (const Datagram& datagram : aDatagrams) {
    const std::size_t to = IndexOf(datagram.mAddress);
    if (mHosts[aFrom].mIsolated || draw(mRandom) < mTerms.mLoss) {
      continue;
    }
    mEvents.After(
        kHostDelay + milliseconds(delay(mRandom)),
        [this, to, message = datagram.mMessage] {
          Host& host = mHosts[to];
          if (host.mIsolated) {
            return;
          }
          Send(to, host.mGossip->MessageArrived(message, mEvents.Now()));
          for (const CrashRecord& crash : host.mGossip->TakeReceivedCrashes()) {
            host.mEngine->NoteRemoteCrash(crash, mEvents.Now());
          }
        });
  }
}

void CrashFleet::Attempt(std::size_t aHost, const StartAttempt& aStart) {
  const RunningAttempt attempt{aHost, mHosts[aHost].mStarts, aStart.mAttempt};
  const bool isBad = mHosts[aHost].mTargets[aStart.mCall] == kCrashingTarget;
  const std::size_t index = IndexOf(aStart.mAddress);
  mEvents.After(kEndpointDelay, [this, attempt, isBad, index,
                                 id = aStart.mEndpoint] {
    Endpoint& endpoint = mEndpoints[index];
    if (!endpoint.mUp) {
      mEvents.After(mTerms.mCrashesSilently ? kConnectTimeout : kEndpointDelay,
                    [this, attempt] {
                      End(attempt, AttemptResult::NotConnected,
                          mTerms.mCrashesSilently ? EndpointLiveness::Unknown
                                                  : EndpointLiveness::Refused);
                    });
      return;
    }
    if (endpoint.mEntry.mId != id) {
      End(attempt, AttemptResult::NotExecuted, EndpointLiveness::Replaced);
      return;
    }
    endpoint.mAttempts.push_back(attempt);
    const std::int64_t incarnation = endpoint.mEntry.mIncarnation;
    if (isBad) {
      const Host& host = mHosts[attempt.mHost];
      if (!host.mIsolated &&
          mEvents.Now() - host.mReconnectedAt > kRejoinTime) {
        mCrashingSends.push_back(mEvents.Now());
      }
      mEvents.After(kTimeToCrash, [this, index, incarnation] {
        if (mEndpoints[index].mUp &&
            mEndpoints[index].mEntry.mIncarnation == incarnation) {
          mCrashes.push_back(mEvents.Now());
          Crash(index);
        }
      });
      return;
    }
    mEvents.After(kWork, [this, attempt, index, incarnation] {
      Endpoint& current = mEndpoints[index];
      if (current.mUp && current.mEntry.mIncarnation == incarnation) {
        std::erase_if(current.mAttempts,
                      [&attempt](const RunningAttempt& aOther) {
                        return aOther.mHost == attempt.mHost &&
                               aOther.mAttempt == attempt.mAttempt;
                      });
        End(attempt, AttemptResult::Answered, EndpointLiveness::Alive);
      }
    });
  });
}

void CrashFleet::End(const RunningAttempt& aAttempt, AttemptResult aResult,
                     EndpointLiveness aLiveness) {
  if (!IsSameProcess(aAttempt.mHost, aAttempt.mStarts)) {
    return;
  }
  AttemptReply reply;
  reply.mResult = aResult;
  reply.mLiveness = aLiveness;
  if (aResult == AttemptResult::Answered) {
    auto response = std::make_shared<Response>();
    response->mStatus = 200;
    reply.mResponse = std::move(response);
    reply.mSample = LoadSample{0, 0, kSlots, 1};
  }
  Act(aAttempt.mHost, mHosts[aAttempt.mHost].mEngine->AttemptEnded(
                          aAttempt.mAttempt, reply, mEvents.Now()));
}

void CrashFleet::Probe(std::size_t aHost, const StartProbe& aProbe) {
  const std::uint64_t starts = mHosts[aHost].mStarts;
  mEvents.After(kEndpointDelay, [this, aHost, starts, aProbe] {
    const Endpoint& endpoint = mEndpoints[IndexOf(aProbe.mAddress)];
    if (!endpoint.mUp && mTerms.mCrashesSilently) {
      return;
    }
    ProbeReply reply;
    reply.mLiveness = EndpointLiveness::Refused;
    if (endpoint.mUp && endpoint.mEntry.mId == aProbe.mEndpoint) {
      reply.mLiveness = EndpointLiveness::Alive;
      reply.mSample = LoadSample{0, 0, kSlots, 1};
    } else if (endpoint.mUp) {
      reply.mLiveness = EndpointLiveness::Replaced;
    }
    mEvents.After(kEndpointDelay, [this, aHost, starts, aProbe, reply] {
      if (IsSameProcess(aHost, starts)) {
        Act(aHost, mHosts[aHost].mEngine->ProbeEnded(aProbe.mProbe, reply,
                                                     mEvents.Now()));
      }
    });
  });
}

void CrashFleet::Crash(std::size_t aEndpoint) {
  Endpoint& endpoint = mEndpoints[aEndpoint];
  endpoint.mUp = false;
  const std::vector<RunningAttempt> attempts =
      std::exchange(endpoint.mAttempts, {});
  if (!mTerms.mCrashesSilently) {
    for (const RunningAttempt& attempt : attempts) {
      mEvents.After(kEndpointDelay, [this, attempt] {
        End(attempt, AttemptResult::Lost, EndpointLiveness::Unknown);
      });
    }
  }
  mEvents.After(kEntryExpiry, [this, entry = endpoint.mEntry] {
    const auto published = mPublished.find(entry.mId);
    if (published != mPublished.end() &&
        IsSameStart(published->second, entry)) {
      mPublished.erase(published);
      Publish();
    }
  });
  mEvents.After(kDownTime, [this, aEndpoint] { RestartEndpoint(aEndpoint); });
}

void CrashFleet::RestartEndpoint(std::size_t aEndpoint) {
  Endpoint& endpoint = mEndpoints[aEndpoint];
  endpoint.mUp = true;
  endpoint.mEntry.mIncarnation = ++mLastIncarnation;
  if (!mTerms.mKeepsId) {
    endpoint.mEntry.mId = fmt::format("e{}.{}", aEndpoint, mLastIncarnation);
  }
  mPublished[endpoint.mEntry.mId] = endpoint.mEntry;
  Publish();
}

}  // namespace papayawheel
