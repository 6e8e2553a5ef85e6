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

/** One run on virtual time: callers, hosts that decide, endpoints. */
struct RoutingScenario {
  std::size_t mHosts = 20;
  std::size_t mEndpoints = 15;
  std::size_t mSlots = 4;
  /** Mean service time of short calls. */
  Duration mShortServiceTime{4000};
  double mLongShare = 0.02;
  double mLongFactor = 50;
  Duration mOneWayDelay{250};
  /** Offered work as a share of all slots. */
  double mLoad = 0.8;
  /** Factor on the arrival rate during the swing. */
  double mPeakFactor = 1;
  std::chrono::seconds mPeakStart{10};
  std::chrono::seconds mPeakEnd{12};
  std::chrono::seconds mDuration{30};
  /** Calls that an endpoint queues; more are refused. */
  std::size_t mEndpointQueue = SIZE_MAX;
  /** How many times longer the first endpoint takes. */
  double mSlowdown = 1;
  /** Factor on the load that endpoints report. */
  double mReportedLoadFactor = 1;
  /** The first endpoint answers every call at once with an error. */
  bool mFailFast = false;
  /** Share of calls of the customer with priority. */
  double mPriorityShare = 0;
  /** Probes per second and endpoint, over all hosts. */
  double mProbesPerSecond = 1000;
  std::uint32_t mSeed = 1;
};

/** One call of a run. */
struct ModelCall {
  std::uint64_t mId = 0;
  std::size_t mHost = 0;
  bool mLong = false;
  bool mPriority = false;
  TimePoint mArrived;
  Duration mServiceTime{0};
};

/** How a policy sees the endpoints. */
struct ModelReply {
  EndpointResult mResult = EndpointResult::Answered;
  LoadReport mReport;
};

class RoutingModel;

/** A way to decide, for all hosts of a run. */
class RoutingPolicy {
 public:
  RoutingPolicy() = default;
  RoutingPolicy(const RoutingPolicy&) = delete;
  RoutingPolicy& operator=(const RoutingPolicy&) = delete;
  virtual ~RoutingPolicy() = default;

  virtual void Arrive(RoutingModel& aModel, const ModelCall& aCall) = 0;
  virtual void Replied(RoutingModel& aModel, const ModelCall& aCall,
                       std::size_t aEndpoint, const ModelReply& aReply) = 0;
  virtual void Tick(RoutingModel& /*aModel*/) {}
};

/** Latencies of one class of calls. */
struct ModelLatencies {
  std::vector<Duration> mAll;

  [[nodiscard]] double Quantile(double aShare);
};

struct RoutingResult {
  ModelLatencies mShort;
  ModelLatencies mLong;
  ModelLatencies mPriority;
  std::uint64_t mArrived = 0;
  std::uint64_t mRefused = 0;
  /** Times that an endpoint refused a call because it was full. */
  std::uint64_t mShed = 0;
  /** Useful answers during the swing, as a share of what all slots can do. */
  double mPeakUtilization = 0;
  /** Time after the swing until a second passes without a call above twice the
   * calm 99th percentile; the whole rest if never. */
  Duration mRecoveryTime{0};
};

/** Virtual time, network and endpoints. */
class RoutingModel {
 public:
  RoutingModel(const RoutingScenario& aScenario, RoutingPolicy& aPolicy);

  RoutingResult Run();

  /** For policies: sends a call to an endpoint. */
  void Send(const ModelCall& aCall, std::size_t aEndpoint);
  /** For policies: gives a call up. */
  void Refuse(const ModelCall& aCall);

  [[nodiscard]] TimePoint Now() const { return mNow; }
  [[nodiscard]] const RoutingScenario& Scenario() const { return mScenario; }
  std::mt19937_64& Random() { return mRandom; }

  /** A run with one queue over all slots, which no real system has. */
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
