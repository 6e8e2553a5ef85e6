#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include "core/endpoints/load_sample.h"
#include "model/event_queue.h"

namespace papayawheel::model {

/** How an endpoint of the users' systems behaves. */
struct EndpointTraits {
  std::uint32_t mSlots = 4;
  /** Requests that wait for a slot; one more is never answered. */
  std::uint32_t mQueue = 8;
  /** Above this part of the slots work takes mKneeFactor times as long. */
  double mKnee = 0.8;
  double mKneeFactor = 1.7;
  /** Chance that other work slows the machine down, drawn anew in each
   * mNoisePeriod, and how much. */
  double mNoiseProbability = 0.25;
  double mNoiseFactor = 5;
  Duration mNoisePeriod = std::chrono::milliseconds(150);
  /** Part of the requests that end with a failure of the endpoint. */
  double mFailureProbability = 0;
  /** Part of the requests that it turns away though it has room. */
  double mShedProbability = 0;
  /** Work takes this many times as long, without a sign in the reports. */
  double mUnreportedSlowdown = 1;
};

/** How a request ended at a model endpoint. */
enum class ModelOutcome { Answered, Failed, NotExecuted, NotConnected };

/** One endpoint on virtual time. */
class ModelEndpoint {
 public:
  using DoneCallback = std::function<void(ModelOutcome, LoadSample)>;

  ModelEndpoint(EventQueue& aEvents, EndpointTraits aTraits,
                std::uint32_t aSeed);

  /** A request arrives. The callback runs when it ends, or never.
   * @param aServiceTime its time on a quiet, idle endpoint.
   * @return names it for Cancel(). */
  std::uint64_t Arrive(Duration aServiceTime, DoneCallback aDone);

  /** The sender has closed the connection. */
  void Cancel(std::uint64_t aId);

  [[nodiscard]] LoadSample Load();

  /** Takes it down or brings it back; what it ran is lost. */
  void SetDown(bool aDown);
  [[nodiscard]] bool IsDown() const { return mDown; }
  /** Takes it off the network: what it ran is lost without a word, and
   * connections are not made. */
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
