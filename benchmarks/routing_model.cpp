#include "benchmarks/routing_model.h"

#include <algorithm>
#include <utility>

namespace papayawheel {
namespace {

constexpr std::chrono::milliseconds kTick{2};

/** Calls that arrive in this time after the start are not counted. */
constexpr std::chrono::seconds kWarmUp{2};

Duration ToDuration(double aSeconds) {
  return Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

double ToSeconds(TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

/** Placeholder for RunIdeal(), where no policy decides. */
class NoPolicy : public RoutingPolicy {
  void Arrive(RoutingModel& /*aModel*/, const ModelCall& /*aCall*/) override {}
  void Replied(RoutingModel& /*aModel*/, const ModelCall& /*aCall*/,
               std::size_t /*aEndpoint*/,
               const ModelReply& /*aReply*/) override {}
};

}  // namespace

double ModelLatencies::Quantile(double aShare) {
  if (mAll.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(mAll.size() - 1));
  std::nth_element(mAll.begin(), mAll.begin() + index, mAll.end());
  return ToSeconds(mAll[static_cast<std::size_t>(index)]) * 1000;
}

RoutingModel::RoutingModel(const RoutingScenario& aScenario,
                           RoutingPolicy& aPolicy)
    : mScenario(aScenario), mPolicy(aPolicy), mRandom(aScenario.mSeed) {
  mEndpoints.resize(mScenario.mEndpoints);
}

RoutingResult RoutingModel::Run() {
  mOnArrive = [this](const ModelCall& aCall) { mPolicy.Arrive(*this, aCall); };
  RunEvents([this] { mPolicy.Tick(*this); });
  return std::move(mResult);
}

RoutingResult RoutingModel::RunIdeal(const RoutingScenario& aScenario) {
  NoPolicy none;
  RoutingModel model(aScenario, none);
  std::size_t running = 0;
  std::deque<ModelCall> queue;
  const std::size_t slots = aScenario.mEndpoints * aScenario.mSlots;
  std::function<void(const ModelCall&)> start = [&](const ModelCall& aCall) {
    ++running;
    model.At(model.mNow + aCall.mServiceTime + aScenario.mOneWayDelay * 2,
             [&, aCall] {
               --running;
               model.Record(aCall);
               if (!queue.empty()) {
                 const ModelCall next = queue.front();
                 queue.pop_front();
                 start(next);
               }
             });
  };
  // The network delay takes time but no slot of an endpoint. Here a call holds
  // its slot for the delay as well, and the number of slots is not raised to
  // make up for that.
  model.mOnArrive = [&](const ModelCall& aCall) {
    if (running < slots) {
      start(aCall);
    } else {
      queue.push_back(aCall);
    }
  };
  model.RunEvents([] {});
  return std::move(model.mResult);
}

void RoutingModel::RunEvents(const std::function<void()>& aOnTick) {
  ScheduleArrival();
  TimePoint nextTick = mNow + kTick;
  const TimePoint end = mBegin + mScenario.mDuration;
  while (!mEvents.empty() && mNow < end) {
    const auto first = mEvents.begin();
    if (nextTick < first->first) {
      mNow = nextTick;
      nextTick += kTick;
      aOnTick();
      continue;
    }
    mNow = first->first;
    const Event event = std::move(first->second);
    mEvents.erase(first);
    event();
  }
  EvaluatePeak();
}

void RoutingModel::ScheduleArrival() {
  const double gap =
      std::exponential_distribution<double>(ArrivalsPerSecond())(mRandom);
  At(mNow + ToDuration(gap), [this] {
    ++mResult.mArrived;
    mOnArrive(DrawCall());
    ScheduleArrival();
  });
}

ModelCall RoutingModel::DrawCall() {
  std::uniform_real_distribution<double> share(0, 1);
  ModelCall call;
  call.mId = ++mLastId;
  call.mHost = static_cast<std::size_t>(mRandom() % mScenario.mHosts);
  call.mLong = share(mRandom) < mScenario.mLongShare;
  call.mPriority = share(mRandom) < mScenario.mPriorityShare;
  call.mArrived = mNow;
  const double mean = ToSeconds(mScenario.mShortServiceTime) *
                      (call.mLong ? mScenario.mLongFactor : 1);
  call.mServiceTime =
      ToDuration(std::exponential_distribution<double>(1 / mean)(mRandom));
  return call;
}

void RoutingModel::Send(const ModelCall& aCall, std::size_t aEndpoint) {
  At(mNow + mScenario.mOneWayDelay,
     [this, aCall, aEndpoint] { ArriveAtEndpoint(aCall, aEndpoint); });
}

void RoutingModel::Refuse(const ModelCall& aCall) {
  if (aCall.mArrived - mBegin >= kWarmUp) {
    ++mResult.mRefused;
  }
}

void RoutingModel::ArriveAtEndpoint(const ModelCall& aCall,
                                    std::size_t aEndpoint) {
  EndpointModel& endpoint = mEndpoints[aEndpoint];
  if (mScenario.mFailFast && aEndpoint == 0) {
    Reply(aCall, aEndpoint, EndpointResult::Cut);
    return;
  }
  if (endpoint.mRunning < mScenario.mSlots) {
    Start(aCall, aEndpoint);
  } else if (endpoint.mQueue.size() < mScenario.mEndpointQueue) {
    endpoint.mQueue.push_back(aCall);
  } else {
    ++mResult.mShed;
    Reply(aCall, aEndpoint, EndpointResult::Shed);
  }
}

void RoutingModel::Start(const ModelCall& aCall, std::size_t aEndpoint) {
  ++mEndpoints[aEndpoint].mRunning;
  const double slowdown = aEndpoint == 0 ? mScenario.mSlowdown : 1;
  const Duration service =
      std::chrono::duration_cast<Duration>(aCall.mServiceTime * slowdown);
  At(mNow + service, [this, aCall, aEndpoint] {
    EndpointModel& endpoint = mEndpoints[aEndpoint];
    --endpoint.mRunning;
    if (IsPeak(mNow)) {
      mPeakWork += aCall.mServiceTime;
    }
    if (!endpoint.mQueue.empty()) {
      const ModelCall next = endpoint.mQueue.front();
      endpoint.mQueue.pop_front();
      Start(next, aEndpoint);
    }
    Reply(aCall, aEndpoint, EndpointResult::Answered);
  });
}

void RoutingModel::Reply(const ModelCall& aCall, std::size_t aEndpoint,
                         EndpointResult aResult) {
  const EndpointModel& endpoint = mEndpoints[aEndpoint];
  const auto reported = [this](std::size_t aCount) {
    return static_cast<std::uint32_t>(static_cast<double>(aCount) *
                                      mScenario.mReportedLoadFactor);
  };
  ModelReply reply{aResult,
                   LoadReport{reported(endpoint.mRunning),
                              reported(endpoint.mQueue.size()), false}};
  At(mNow + mScenario.mOneWayDelay, [this, aCall, aEndpoint, reply] {
    if (reply.mResult == EndpointResult::Answered) {
      Record(aCall);
    }
    mPolicy.Replied(*this, aCall, aEndpoint, reply);
  });
}

void RoutingModel::Record(const ModelCall& aCall) {
  if (aCall.mArrived - mBegin < kWarmUp) {
    return;
  }
  const auto latency =
      std::chrono::duration_cast<Duration>(mNow - aCall.mArrived);
  if (aCall.mPriority) {
    mResult.mPriority.mAll.push_back(latency);
  }
  (aCall.mLong ? mResult.mLong : mResult.mShort).mAll.push_back(latency);
  if (!aCall.mLong) {
    mShortByTime.emplace_back(aCall.mArrived, latency);
  }
}

double RoutingModel::ArrivalsPerSecond() const {
  const double mean = ToSeconds(mScenario.mShortServiceTime) *
                      (1 + mScenario.mLongShare * (mScenario.mLongFactor - 1));
  const double capacity =
      static_cast<double>(mScenario.mEndpoints * mScenario.mSlots) / mean;
  return capacity * mScenario.mLoad *
         (IsPeak(mNow) ? mScenario.mPeakFactor : 1);
}

bool RoutingModel::IsPeak(TimePoint aTime) const {
  return mScenario.mPeakFactor != 1 && aTime - mBegin >= mScenario.mPeakStart &&
         aTime - mBegin < mScenario.mPeakEnd;
}

void RoutingModel::EvaluatePeak() {
  if (mScenario.mPeakFactor == 1) {
    return;
  }
  const double slotSeconds =
      ToSeconds(mScenario.mPeakEnd - mScenario.mPeakStart) *
      static_cast<double>(mScenario.mEndpoints * mScenario.mSlots);
  mResult.mPeakUtilization = ToSeconds(mPeakWork) / slotSeconds;
  ModelLatencies calm;
  const TimePoint from = mBegin + mScenario.mPeakStart;
  const TimePoint until = mBegin + mScenario.mPeakEnd;
  for (const auto& [arrived, latency] : mShortByTime) {
    if (arrived < from) {
      calm.mAll.push_back(latency);
    }
  }
  const double bound = 2 * calm.Quantile(0.99);
  // The peak is over when calls that arrive are again about as fast as before.
  TimePoint recoveredAt = until;
  std::map<std::int64_t, ModelLatencies> windows;
  constexpr std::int64_t kWindowMs = 100;
  for (const auto& [arrived, latency] : mShortByTime) {
    if (arrived >= until) {
      const auto sincePeak =
          std::chrono::duration_cast<std::chrono::milliseconds>(arrived -
                                                                until);
      windows[sincePeak.count() / kWindowMs].mAll.push_back(latency);
    }
  }
  for (auto& [window, latencies] : windows) {
    if (latencies.Quantile(0.9) > bound) {
      recoveredAt = until + std::chrono::milliseconds((window + 1) * kWindowMs);
    }
  }
  mResult.mRecoveryTime =
      std::chrono::duration_cast<Duration>(recoveredAt - until);
}

}  // namespace papayawheel
