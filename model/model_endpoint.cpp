#include "model/model_endpoint.h"

#include <algorithm>
#include <utility>

namespace papayawheel::model {
namespace {

/** Time after which an attempt to connect to a silent endpoint fails. */
constexpr std::chrono::milliseconds kConnectTimeout{250};

}  // namespace

ModelEndpoint::ModelEndpoint(EventQueue& aEvents, EndpointTraits aTraits,
                             std::uint32_t aSeed)
    : mEvents(aEvents), mTraits(aTraits), mRandom(aSeed) {}

std::uint64_t ModelEndpoint::Arrive(Duration aServiceTime, DoneCallback aDone) {
  const std::uint64_t id = ++mLastId;
  ++mArrivals;
  if (mDown) {
    aDone(ModelOutcome::NotConnected, LoadSample{});
    return id;
  }
  if (mSilent) {
    mEvents.After(kConnectTimeout, [done = std::move(aDone)] {
      done(ModelOutcome::NotConnected, LoadSample{});
    });
    return id;
  }
  if (std::bernoulli_distribution(mTraits.mShedProbability)(mRandom)) {
    aDone(ModelOutcome::NotExecuted, Load());
    return id;
  }
  Job job{id, aServiceTime, std::move(aDone)};
  if (mRunning.size() < mTraits.mSlots) {
    Start(job);
  } else if (mWaiting.size() < mTraits.mQueue) {
    mWaiting.push_back(std::move(job));
  }
  // A request that finds the queue full is dropped and never answered.
  return id;
}

void ModelEndpoint::Cancel(std::uint64_t aId) {
  const auto matches = [aId](const Job& aJob) { return aJob.mId == aId; };
  std::erase_if(mWaiting, matches);
  if (std::erase_if(mRunning, matches) > 0) {
    StartNext();
  }
}

LoadSample ModelEndpoint::Load() {
  return LoadSample{static_cast<std::uint32_t>(mRunning.size()),
                    static_cast<std::uint32_t>(mWaiting.size()), mTraits.mSlots,
                    CurrentNoiseFactor()};
}

bool ModelEndpoint::IsBusy() const {
  const std::size_t present = mRunning.size() + mWaiting.size();
  return present > 0 &&
         (present >= mTraits.mSlots ||
          static_cast<double>(present + 1) > mTraits.mKnee * mTraits.mSlots);
}

void ModelEndpoint::SetDown(bool aDown) {
  mDown = aDown;
  if (aDown) {
    mRunning.clear();
    mWaiting.clear();
  }
}

void ModelEndpoint::SetSilent(bool aSilent) {
  mSilent = aSilent;
  if (aSilent) {
    mRunning.clear();
    mWaiting.clear();
  }
}

double ModelEndpoint::CurrentNoiseFactor() {
  const std::int64_t number =
      mEvents.Now().time_since_epoch() / mTraits.mNoisePeriod;
  if (number != mNoisePeriodNumber) {
    mNoisePeriodNumber = number;
    mNoisy = std::bernoulli_distribution(mTraits.mNoiseProbability)(mRandom);
  }
  return mNoisy ? mTraits.mNoiseFactor : 1;
}

void ModelEndpoint::Start(const Job& aJob) {
  double factor = CurrentNoiseFactor() * mTraits.mUnreportedSlowdown;
  mRunning.push_back(aJob);
  if (static_cast<double>(mRunning.size()) > mTraits.mKnee * mTraits.mSlots) {
    factor *= mTraits.mKneeFactor;
  }
  const Duration time(static_cast<std::int64_t>(
      static_cast<double>(aJob.mServiceTime.count()) * factor));
  mEvents.After(time, [this, id = aJob.mId] { Finish(id); });
}

void ModelEndpoint::Finish(std::uint64_t aId) {
  const auto found =
      std::find_if(mRunning.begin(), mRunning.end(),
                   [aId](const Job& aJob) { return aJob.mId == aId; });
  if (found == mRunning.end()) {
    return;
  }
  const DoneCallback done = std::move(found->mDone);
  mRunning.erase(found);
  StartNext();
  const bool failed =
      std::bernoulli_distribution(mTraits.mFailureProbability)(mRandom);
  done(failed ? ModelOutcome::Failed : ModelOutcome::Answered, Load());
}

void ModelEndpoint::StartNext() {
  if (mWaiting.empty() || mRunning.size() >= mTraits.mSlots) {
    return;
  }
  const Job next = std::move(mWaiting.front());
  mWaiting.pop_front();
  Start(next);
}

}  // namespace papayawheel::model
