#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include "core/endpoints/load_sample.h"
#include "model/event_queue.h"

namespace papayawheel::model {

/** Performance and faults of a simulated endpoint. */
struct EndpointTraits {
  std::uint32_t mSlots = 4;
  /** How many requests may wait for a slot. A request that arrives when that
   * many wait is never answered. */
  std::uint32_t mQueue = 8;
  /** A request that starts when more than this fraction of the slots is in use
   * takes mKneeFactor times as long. */
  double mKnee = 0.8;
  double mKneeFactor = 1.7;
  /** Probability that other load on the machine slows requests down by
   * mNoiseFactor; drawn anew in each mNoisePeriod. */
  double mNoiseProbability = 0.25;
  double mNoiseFactor = 5;
  Duration mNoisePeriod = std::chrono::milliseconds(150);
  /** Probability that a request ends with an error of the endpoint. */
  double mFailureProbability = 0;
  /** Probability that a request is refused although a slot is free. */
  double mShedProbability = 0;
  /** Slows every request down by this factor, without a sign of it in the load
   * reports. */
  double mUnreportedSlowdown = 1;
};

/** How a request ended at a model endpoint. */
enum class ModelOutcome { Answered, Failed, NotExecuted, NotConnected };

/** A simulated endpoint with a fixed number of slots and a queue, on virtual
 * time. */
class ModelEndpoint {
 public:
  using DoneCallback = std::function<void(ModelOutcome, LoadSample)>;

  ModelEndpoint(EventQueue& aEvents, EndpointTraits aTraits,
                std::uint32_t aSeed);

  /** Takes in a request.
   * @param aServiceTime how long it takes on an idle endpoint without noise.
   * @param aDone runs when the request ends; never if the request is lost or
   * cancelled. It may run before this returns.
   * @return id of the request for Cancel(). */
  std::uint64_t Arrive(Duration aServiceTime, DoneCallback aDone);

  /** Drops a request because its sender has closed the connection. */
  void Cancel(std::uint64_t aId);

  [[nodiscard]] LoadSample Load();
  /** Whether a request that arrives now is slower because of the requests that
   * are here already. */
  [[nodiscard]] bool IsBusy() const;
  /** Whether other load on the machine slows requests down now. */
  [[nodiscard]] bool IsSlowed() { return CurrentNoiseFactor() > 1; }

  /** Stops or restarts the endpoint. Stopping loses all requests; connections
   * to a stopped endpoint are refused at once. */
  void SetDown(bool aDown);
  [[nodiscard]] bool IsDown() const { return mDown; }
  /** Cuts the endpoint off the network or reconnects it. All requests are lost
   * without an answer, and attempts to connect time out. */
  void SetSilent(bool aSilent);
  [[nodiscard]] bool IsSilent() const { return mSilent; }
  EndpointTraits& Traits() { return mTraits; }
  [[nodiscard]] std::uint64_t Arrivals() const { return mArrivals; }

 private:
  struct Job {
    std::uint64_t mId = 0;
    Duration mServiceTime{0};
    DoneCallback mDone;
  };

  void Start(const Job& aJob);
  void Finish(std::uint64_t aId);
  void StartNext();
  double CurrentNoiseFactor();

  EventQueue& mEvents;
  EndpointTraits mTraits;
  std::minstd_rand mRandom;
  std::deque<Job> mWaiting;
  std::deque<Job> mRunning;
  std::uint64_t mLastId = 0;
  std::uint64_t mArrivals = 0;
  std::int64_t mNoisePeriodNumber = -1;
  bool mNoisy = false;
  bool mDown = false;
  bool mSilent = false;
};

}  // namespace papayawheel::model
