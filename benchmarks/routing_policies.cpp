#include "benchmarks/routing_policies.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/entry/call_engine.h"

namespace papayawheel {
namespace {

/** What one host knows about the load of one endpoint. */
struct EndpointLoadState {
  std::uint32_t mInFlight = 0;
  /** Running and queued calls according to the latest report. */
  double mReportedLoad = 0;
  std::uint32_t mSentSinceReport = 0;
};

/** Baseline policy: chooses an endpoint by one rule and sends each call at
 * once, without a queue on the host. */
class BaselinePolicy : public RoutingPolicy {
 public:
  /** Returns the index of the endpoint for a call, given the load of all and
   * the indices of those that were tried for this call. */
  using Rule =
      std::function<std::size_t(RoutingModel&, std::vector<EndpointLoadState>&,
                                const std::vector<std::size_t>&)>;

  BaselinePolicy(const RoutingScenario& aScenario, Rule aRule)
      : mRule(std::move(aRule)),
        mLoadStates(aScenario.mHosts,
                    std::vector<EndpointLoadState>(aScenario.mEndpoints)) {}

  void Arrive(RoutingModel& aModel, const ModelCall& aCall) override {
    SendNext(aModel, aCall);
  }

  void Replied(RoutingModel& aModel, const ModelCall& aCall,
               std::size_t aEndpoint, const ModelReply& aReply) override {
    EndpointLoadState& state = mLoadStates[aCall.mHost][aEndpoint];
    --state.mInFlight;
    state.mReportedLoad = aReply.mReport.mRunning + aReply.mReport.mQueued;
    state.mSentSinceReport = 0;
    if (aReply.mResult == EndpointResult::Answered) {
      mTried.erase(aCall.mId);
    } else if (mTried[aCall.mId].size() < kMaxAttempts) {
      SendNext(aModel, aCall);
    } else {
      mTried.erase(aCall.mId);
      aModel.Refuse(aCall);
    }
  }

 private:
  static constexpr std::size_t kMaxAttempts = 3;

  void SendNext(RoutingModel& aModel, const ModelCall& aCall) {
    std::vector<std::size_t>& tried = mTried[aCall.mId];
    const std::size_t endpoint = mRule(aModel, mLoadStates[aCall.mHost], tried);
    tried.push_back(endpoint);
    EndpointLoadState& state = mLoadStates[aCall.mHost][endpoint];
    ++state.mInFlight;
    ++state.mSentSinceReport;
    aModel.Send(aCall, endpoint);
  }

  Rule mRule;
  std::vector<std::vector<EndpointLoadState>> mLoadStates;
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> mTried;
};

/** Returns the endpoint with the lowest cost, ties broken at random. One that
 * was tried already is returned only if all were. */
template <typename Cost>
std::size_t LowestCost(RoutingModel& aModel,
                       const std::vector<EndpointLoadState>& aStates,
                       const std::vector<std::size_t>& aTried, Cost aCost) {
  std::size_t best = 0;
  double bestCost = 1e18;
  for (std::size_t index = 0; index < aStates.size(); ++index) {
    const bool tried =
        std::find(aTried.begin(), aTried.end(), index) != aTried.end();
    const double tie =
        std::uniform_real_distribution<double>(0, 0.01)(aModel.Random());
    const double cost = aCost(aStates[index]) + tie + (tried ? 1e9 : 0);
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

std::size_t RandomEndpoint(RoutingModel& aModel,
                           const std::vector<EndpointLoadState>& aStates) {
  return static_cast<std::size_t>(aModel.Random()() % aStates.size());
}

NamedPolicy MakeBaseline(std::string aName, BaselinePolicy::Rule aRule,
                         std::size_t aEndpointQueue = SIZE_MAX) {
  return NamedPolicy{
      std::move(aName),
      [rule = std::move(aRule)](const RoutingScenario& aScenario) {
        return std::make_unique<BaselinePolicy>(aScenario, rule);
      },
      aEndpointQueue};
}

/** Policy that runs one CallEngine on each host. */
class EngineDriver : public RoutingPolicy {
 public:
  explicit EngineDriver(const RoutingScenario& aScenario) {
    Configuration configuration = MakeConfiguration(aScenario);
    const auto shared = std::make_shared<const Configuration>(configuration);
    const TimePoint start{std::chrono::hours(1)};
    for (std::size_t host = 0; host < aScenario.mHosts; ++host) {
      // With ten minutes of uptime no call of an earlier process on the host
      // can still be running, so the host may use its shares at once.
      const TimePoint startedAt = start - std::chrono::minutes(10);
      mEngines.push_back(std::make_unique<CallEngine>(
          HostIdentity{HostName(host), "dc", host + 1}, startedAt));
      mEngines.back()->Apply(shared, startedAt);
      mEngines.back()->SetReady(true);
    }
    for (auto& engine : mEngines) {
      for (std::size_t peer = 0; peer < aScenario.mHosts; ++peer) {
        engine->Ledger().HostReported(HostName(peer), LedgerReport{1, 1}, start,
                                      start);
      }
    }
  }

  void Arrive(RoutingModel& aModel, const ModelCall& aCall) override {
    mCalls[aCall.mId] = aCall;
    CallEngine& engine = *mEngines[aCall.mHost];
    engine.NoteControlIteration(aModel.Now());
    CallRequest request;
    request.mCustomer = aCall.mPriority ? "priority" : "plain";
    request.mService = "service";
    request.mMethod = "GET";
    request.mTarget = aCall.mLong ? "/long" : "/short";
    Perform(aModel, engine.Arrive(aCall.mId, request, aModel.Now()));
  }

  void Replied(RoutingModel& aModel, const ModelCall& aCall,
               std::size_t /*aEndpoint*/, const ModelReply& aReply) override {
    EndpointReply reply;
    reply.mResult = aReply.mResult;
    reply.mReport = aReply.mReport;
    reply.mResponse = mResponse;
    Perform(aModel, mEngines[aCall.mHost]->EndpointReplied(aCall.mId, reply,
                                                           aModel.Now()));
  }

  void Tick(RoutingModel& aModel) override {
    for (auto& engine : mEngines) {
      engine->NoteControlIteration(aModel.Now());
      Perform(aModel, engine->Tick(aModel.Now()));
    }
  }

 private:
  static std::string HostName(std::size_t aIndex) {
    return fmt::format("h{}", aIndex);
  }

  static Configuration MakeConfiguration(const RoutingScenario& aScenario) {
    Configuration configuration;
    configuration.mRevision = 1;
    for (std::size_t host = 0; host < aScenario.mHosts; ++host) {
      configuration.mHosts[HostName(host)] =
          Host{HostName(host), fmt::format("10.0.0.1:{}", host + 1), "dc",
               NodeState::Live};
    }
    Service service;
    service.mName = "service";
    service.mSlotsPerEndpoint = static_cast<std::uint32_t>(aScenario.mSlots);
    service.mLongestDeadline = std::chrono::seconds(10);
    service.mProbesPerSecond = aScenario.mProbesPerSecond;
    for (std::size_t index = 0; index < aScenario.mEndpoints; ++index) {
      service.mEndpoints.push_back(Endpoint{fmt::format("{}", index),
                                            fmt::format("10.0.1.1:{}", index),
                                            "dc", NodeState::Live});
    }
    configuration.mServices["service"] = service;
    configuration.mContracts["plain"] =
        Contract{"plain", 1e6, 1'000'000, 1'000'000, 1, {"service"}};
    configuration.mContracts["priority"] =
        Contract{"priority", 1e6, 1'000'000, 1'000'000, 9, {"service"}};
    return configuration;
  }

  void Perform(RoutingModel& aModel, const CallActions& aActions) {
    for (const CallAction& action : aActions) {
      if (const auto* send = std::get_if<SendToEndpointAction>(&action)) {
        aModel.Send(mCalls.at(send->mCall), std::stoul(send->mEndpoint));
      } else if (const auto* answer = std::get_if<AnswerAction>(&action)) {
        if (answer->mResponse == nullptr) {
          aModel.Refuse(mCalls.at(answer->mCall));
        }
        mCalls.erase(answer->mCall);
      }
    }
  }

  std::vector<std::unique_ptr<CallEngine>> mEngines;
  std::unordered_map<std::uint64_t, ModelCall> mCalls;
  std::shared_ptr<const Response> mResponse = std::make_shared<Response>();
};

}  // namespace

std::vector<NamedPolicy> BaselinePolicies() {
  using EndpointLoadStates = std::vector<EndpointLoadState>;
  using Tried = std::vector<std::size_t>;
  std::vector<NamedPolicy> policies;
  policies.push_back(MakeBaseline(
      "random", [](RoutingModel& aModel, EndpointLoadStates& aStates,
                   const Tried&) { return RandomEndpoint(aModel, aStates); }));
  policies.push_back(MakeBaseline(
      "round robin",
      [next = std::unordered_map<const EndpointLoadState*, std::size_t>()](
          RoutingModel&, EndpointLoadStates& aStates, const Tried&) mutable {
        return next[aStates.data()]++ % aStates.size();
      }));
  policies.push_back(MakeBaseline(
      "power of two on reports",
      [](RoutingModel& aModel, EndpointLoadStates& aStates, const Tried&) {
        const std::size_t one = RandomEndpoint(aModel, aStates);
        const std::size_t two = RandomEndpoint(aModel, aStates);
        return aStates[one].mReportedLoad <= aStates[two].mReportedLoad ? one
                                                                        : two;
      }));
  policies.push_back(MakeBaseline(
      "least own in flight",
      [](RoutingModel& aModel, EndpointLoadStates& aStates,
         const Tried& aTried) {
        return LowestCost(
            aModel, aStates, aTried,
            [](const EndpointLoadState& aOne) { return aOne.mInFlight; });
      }));
  policies.push_back(MakeBaseline(
      "least report and own sends",
      [](RoutingModel& aModel, EndpointLoadStates& aStates,
         const Tried& aTried) {
        return LowestCost(aModel, aStates, aTried,
                          [](const EndpointLoadState& aOne) {
                            return aOne.mReportedLoad + aOne.mSentSinceReport;
                          });
      }));
  policies.push_back(MakeBaseline(
      "least own, full refuses",
      [](RoutingModel& aModel, EndpointLoadStates& aStates,
         const Tried& aTried) {
        return LowestCost(
            aModel, aStates, aTried,
            [](const EndpointLoadState& aOne) { return aOne.mInFlight; });
      },
      0));
  policies.push_back(MakeBaseline(
      "report and sends, full refuses",
      [](RoutingModel& aModel, EndpointLoadStates& aStates,
         const Tried& aTried) {
        return LowestCost(aModel, aStates, aTried,
                          [](const EndpointLoadState& aOne) {
                            return aOne.mReportedLoad + aOne.mSentSinceReport;
                          });
      },
      0));
  return policies;
}

NamedPolicy EnginePolicy(std::size_t aEndpointQueue) {
  return NamedPolicy{
      aEndpointQueue == 0 ? "engine, full refuses" : "engine, full queues",
      [](const RoutingScenario& aScenario) {
        return std::make_unique<EngineDriver>(aScenario);
      },
      aEndpointQueue};
}

}  // namespace papayawheel
