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

/** A class of simulated requests: their route, arrival rate and service time,
 * and how long and how often their callers try. */
struct RequestClass {
  Route mRoute;
  double mPerSecond = 0;
  /** Mean time on an idle endpoint without noise. */
  Duration mServiceTime{0};
  /** How long a caller waits for the outcome, over all its tries. */
  Duration mRequestTimeout{0};
  /** How often a caller retries after a refusal, or after an error if the
   * route is idempotent. */
  std::uint32_t mRetries = 1;
};

/** Numbers of requests of one class by outcome, as callers see it. */
struct ModelTally {
  std::uint64_t mRequests = 0;
  /** Answered within the target latency of the route. */
  std::uint64_t mInTarget = 0;
  /** Answered after the target latency. */
  std::uint64_t mLate = 0;
  /** Refused for good, and known not to have run. */
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  /** Longest time from the first try of a request to its final refusal. */
  Duration mMaxTimeToRefusal{0};

  [[nodiscard]] double InTargetShare() const;
};

/** Where the first attempts of calls arrived. An endpoint is ready for a
 * request if its machine is not slowed and the request does not bring it above
 * the share of slots from which it is slower; one without requests is not busy
 * however few slots it has. */
struct ChoiceTally {
  std::uint64_t mFirstAttempts = 0;
  /** Those that arrived at an endpoint that is not ready. */
  std::uint64_t mAtBusy = 0;
  std::uint64_t mAtSlowed = 0;
  /** Those that arrived at an endpoint that is not ready while another one is.
   */
  std::uint64_t mRegretted = 0;
  /** Those of them for which there was one in the host's own data centre. */
  std::uint64_t mRegrettedNear = 0;
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
  /** Network delay between a host and an endpoint, in one direction. */
  Duration mOneWayDelay = std::chrono::microseconds(700);
};

/** Simulates hosts, endpoints and callers of one service on virtual time. Each
 * host runs the GatewayEngine of the product. */
class GatewayModel {
 public:
  explicit GatewayModel(ModelSettings aSettings);
  GatewayModel(const GatewayModel&) = delete;
  GatewayModel& operator=(const GatewayModel&) = delete;

  /** Sets the factor on all arrival rates, for arrivals that are scheduled from
   * now on. */
  void SetRate(double aFactor) { mRate = aFactor; }
  void Run(Duration aTime);
  /** Schedules an event at a time since the start of the model. */
  void At(Duration aFromStart, std::function<void()> aEvent);
  /** Clears the tally. Requests that are in progress are not counted when they
   * end. */
  void ResetTally();

  [[nodiscard]] ModelEndpoint& Endpoint(std::size_t aIndex) {
    return *mEndpoints.at(aIndex);
  }
  /** By route name. */
  [[nodiscard]] const std::map<std::string, ModelTally>& Tally() const {
    return mTally;
  }
  /** Attempts that reached an endpoint, or tried to, over all endpoints. */
  [[nodiscard]] std::uint64_t Arrivals() const;
  /** Retries and hedges of all hosts since the start. */
  [[nodiscard]] std::uint64_t Retries() const;
  [[nodiscard]] std::uint64_t Probes() const;
  /** Since the last ResetTally(). */
  [[nodiscard]] const ChoiceTally& Choices() const { return mChoices; }

  static constexpr const char* kService = "service";

 private:
  struct Caller {
    std::size_t mClass = 0;
    TimePoint mRequestedAt;
    Duration mServiceTime{0};
    std::uint32_t mRetriesLeft = 0;
    /** Number of ResetTally() calls before the request was made; the request
     * counts only if there were none since. */
    std::uint32_t mEpoch = 0;
    /** An attempt of the current try has been sent. */
    bool mSent = false;
  };
  struct ModelAttempt {
    std::size_t mEndpoint = 0;
    std::uint64_t mJob = 0;
    bool mCancelled = false;
    /** The first attempt of its call. */
    bool mFirst = false;
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
  /** Counts a first attempt at its arrival at the endpoint. */
  void CountChoice(std::size_t aHost, std::size_t aEndpoint);
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
  ChoiceTally mChoices;
  CallId mLastCall = 0;
  std::uint32_t mEpoch = 0;
};

}  // namespace papayawheel::model
