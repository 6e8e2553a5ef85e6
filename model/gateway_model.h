#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/gateway/gateway_engine.h"
#include "model/event_queue.h"
#include "model/model_endpoint.h"

namespace papayawheel::model {

/** One kind of request of a model day. */
struct RequestClass {
  Route mRoute;
  double mPerSecond = 0;
  /** Mean time on a quiet, idle endpoint. */
  Duration mServiceTime{0};
  /** How long a caller waits. */
  Duration mRequestTimeout{0};
  /** How often a caller comes back after a refusal or a failure. */
  std::uint32_t mRetries = 1;
};

/** What became of the requests of one class. */
struct ModelTally {
  std::uint64_t mRequests = 0;
  std::uint64_t mInTarget = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  /** The longest time from a request to a refusal that ended it. */
  Duration mMaxTimeToRefusal{0};

  [[nodiscard]] double InTargetShare() const;
};

struct ModelSettings {
  std::size_t mHosts = 6;
  std::size_t mEndpoints = 15;
  std::size_t mDataCentres = 1;
  EndpointTraits mTraits;
  std::vector<RequestClass> mClasses;
  RetryBudgetTerms mBudget{0.2, 75, std::chrono::seconds(10)};
  ProbeBudgetTerms mProbeBudget;
  std::uint32_t mSeed = 1;
  /** One way between a host and an endpoint. */
  Duration mOneWayDelay = std::chrono::microseconds(700);
};

/** Hosts, endpoints and callers of one service on virtual time, with the real
 * engine on each host. */
class GatewayModel {
 public:
  explicit GatewayModel(ModelSettings aSettings);
  GatewayModel(const GatewayModel&) = delete;
  GatewayModel& operator=(const GatewayModel&) = delete;

  /** Multiplies the rate of all arrivals from now on. */
  void SetRate(double aFactor) { mRate = aFactor; }
  void Run(Duration aTime);
  void At(Duration aFromStart, std::function<void()> aEvent);
  /** Forgets what was counted so far. */
  void ResetTally();

  [[nodiscard]] ModelEndpoint& Endpoint(std::size_t aIndex) {
    return *mEndpoints.at(aIndex);
  }
  /** By route name. */
  [[nodiscard]] const std::map<std::string, ModelTally>& Tally() const {
    return mTally;
  }
  [[nodiscard]] std::uint64_t Arrivals() const;
  /** Requests of callers that a host sent on at least once. */
  [[nodiscard]] std::uint64_t Retries() const;
  [[nodiscard]] std::uint64_t Probes() const;

  static constexpr const char* kService = "service";

 private:
  struct Caller {
    std::size_t mClass = 0;
    TimePoint mRequestedAt;
    Duration mServiceTime{0};
    std::uint32_t mRetriesLeft = 0;
    /** Asked before the tally was reset. */
    std::uint32_t mEpoch = 0;
  };
  struct ModelAttempt {
    std::size_t mEndpoint = 0;
    std::uint64_t mJob = 0;
    bool mCancelled = false;
  };
  struct Host {
    std::unique_ptr<GatewayEngine> mEngine;
    std::map<CallId, std::shared_ptr<Caller>> mCallers;
    std::map<AttemptId, std::shared_ptr<ModelAttempt>> mAttempts;
    TimePoint mTickAt;
  };

  void ScheduleArrival(std::size_t aClass);
  void SendRequest(const std::shared_ptr<Caller>& aCaller);
  void Perform(std::size_t aHost, const GatewayActions& aActions);
  void Answer(std::size_t aHost, const GatewayAnswer& aAnswer);
  void Send(std::size_t aHost, const StartAttempt& aStart);
  void Probe(std::size_t aHost, const StartProbe& aProbe);
  void ScheduleTick(std::size_t aHost);
  void Count(const std::shared_ptr<Caller>& aCaller,
             const GatewayAnswer& aAnswer);
  [[nodiscard]] std::shared_ptr<RoutingView> MakeView() const;
  [[nodiscard]] static std::size_t IndexOf(const std::string& aEndpoint);

  ModelSettings mSettings;
  EventQueue mEvents;
  TimePoint mStart;
  std::mt19937 mRandom;
  double mRate = 1;
  std::vector<std::unique_ptr<ModelEndpoint>> mEndpoints;
  std::vector<Host> mHosts;
  std::map<std::string, ModelTally> mTally;
  CallId mLastCall = 0;
  std::uint32_t mEpoch = 0;
};

}  // namespace papayawheel::model
