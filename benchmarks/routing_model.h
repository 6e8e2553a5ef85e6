#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/routing/endpoint_result.h"
#include "core/routing/load_report.h"

namespace papayawheel {

/** Parameters of one simulation: the load, the hosts, the network and the
 * endpoints. */
struct RoutingScenario {
  std::size_t mHosts = 20;
  std::size_t mEndpoints = 15;
  std::size_t mSlots = 4;
  /** Mean service time of short calls; it is distributed exponentially. */
  Duration mShortServiceTime{4000};
  /** Fraction of calls that are long: their mean service time is mLongFactor
   * times that of short ones. */
  double mLongShare = 0.02;
  double mLongFactor = 50;
  /** Network delay between a host and an endpoint, in one direction. */
  Duration mOneWayDelay{250};
  /** Offered load as a fraction of the capacity of all slots. */
  double mLoad = 0.8;
  /** Factor on the arrival rate between mPeakStart and mPeakEnd. */
  double mPeakFactor = 1;
  std::chrono::seconds mPeakStart{10};
  std::chrono::seconds mPeakEnd{12};
  std::chrono::seconds mDuration{30};
  /** Maximum number of calls that wait at an endpoint; it refuses more. */
  std::size_t mEndpointQueue = SIZE_MAX;
  /** Factor on the service times of the first endpoint. */
  double mSlowdown = 1;
  /** Factor on the load that endpoints report; other than 1, the reports are
   * wrong. */
  double mReportedLoadFactor = 1;
  /** The first endpoint fails every call at once, with a truncated answer. */
  bool mFailFast = false;
  /** Fraction of calls that are of the customer with priority. */
  double mPriorityShare = 0;
  /** Load probes per second to each endpoint, by all hosts together. */
  double mProbesPerSecond = 1000;
  std::uint32_t mSeed = 1;
};

/** One simulated call. */
struct ModelCall {
  std::uint64_t mId = 0;
  /** Index of the host that receives it. */
  std::size_t mHost = 0;
  bool mLong = false;
  bool mPriority = false;
  TimePoint mArrived;
  Duration mServiceTime{0};
};

/** How an attempt ended, with the load that the endpoint reported. */
struct ModelReply {
  EndpointResult mResult = EndpointResult::Answered;
  LoadReport mReport;
};

class RoutingModel;

/** Decides for all simulated hosts which endpoint gets which call. */
class RoutingPolicy {
 public:
  RoutingPolicy() = default;
  RoutingPolicy(const RoutingPolicy&) = delete;
  RoutingPolicy& operator=(const RoutingPolicy&) = delete;
  virtual ~RoutingPolicy() = default;

  /** A call has reached its host. */
  virtual void Arrive(RoutingModel& aModel, const ModelCall& aCall) = 0;
  /** The result of an attempt has reached the host that sent it. */
  virtual void Replied(RoutingModel& aModel, const ModelCall& aCall,
                       std::size_t aEndpoint, const ModelReply& aReply) = 0;
  /** Runs every 2 ms. */
  virtual void Tick(RoutingModel& /*aModel*/) {}
};

/** Latencies of one class of calls. */
struct ModelLatencies {
  std::vector<Duration> mAll;

  /** @param aShare from 0 to 1.
   * @return milliseconds; 0 if there are no latencies. Reorders them. */
  [[nodiscard]] double Quantile(double aShare);
};

struct RoutingResult {
  ModelLatencies mShort;
  ModelLatencies mLong;
  ModelLatencies mPriority;
  std::uint64_t mArrived = 0;
  std::uint64_t mRefused = 0;
  /** How many times an endpoint refused a call because it was full. */
  std::uint64_t mShed = 0;
  /** Service time of the calls that ended during the peak, as a fraction of the
   * time of all slots. */
  double mPeakUtilization = 0;
  /** Time from the end of the peak to the end of the last 100 ms window in
   * which the 90th percentile of the latencies of short calls is above twice
   * the 99th percentile from before the peak; 0 if there is none. */
  Duration mRecoveryTime{0};
};

/** Simulates arrivals, the network and the endpoints on virtual time. */
class RoutingModel {
 public:
  RoutingModel(const RoutingScenario& aScenario, RoutingPolicy& aPolicy);

  RoutingResult Run();

  /** Sends a call to an endpoint; for policies. */
  void Send(const ModelCall& aCall, std::size_t aEndpoint);
  /** Refuses a call for good; for policies. */
  void Refuse(const ModelCall& aCall);

  [[nodiscard]] TimePoint Now() const { return mNow; }
  [[nodiscard]] const RoutingScenario& Scenario() const { return mScenario; }
  std::mt19937_64& Random() { return mRandom; }

  /** Runs the scenario with a single queue for all slots, a reference that no
   * distributed system reaches. */
  static RoutingResult RunIdeal(const RoutingScenario& aScenario);

 private:
  using Event = std::function<void()>;

  struct EndpointModel {
    std::size_t mRunning = 0;
    std::deque<ModelCall> mQueue;
  };

  void At(TimePoint aTime, Event aEvent) {
    mEvents.emplace(aTime, std::move(aEvent));
  }
  /** Runs the simulation to its end.
   * @param aOnTick runs every 2 ms. */
  void RunEvents(const std::function<void()>& aOnTick);
  void ScheduleArrival();
  ModelCall DrawCall();
  void ArriveAtEndpoint(const ModelCall& aCall, std::size_t aEndpoint);
  void Start(const ModelCall& aCall, std::size_t aEndpoint);
  void Reply(const ModelCall& aCall, std::size_t aEndpoint,
             EndpointResult aResult);
  void Record(const ModelCall& aCall);
  [[nodiscard]] double ArrivalsPerSecond() const;
  [[nodiscard]] bool IsPeak(TimePoint aTime) const;
  void EvaluatePeak();

  RoutingScenario mScenario;
  RoutingPolicy& mPolicy;
  std::function<void(const ModelCall&)> mOnArrive;
  std::mt19937_64 mRandom;
  TimePoint mNow{std::chrono::hours(1)};
  TimePoint mBegin = mNow;
  std::multimap<TimePoint, Event> mEvents;
  std::vector<EndpointModel> mEndpoints;
  std::uint64_t mLastId = 0;
  RoutingResult mResult;
  Duration mPeakWork{0};
  std::vector<std::pair<TimePoint, Duration>> mShortByTime;
};

}  // namespace papayawheel
