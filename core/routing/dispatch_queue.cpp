#include "core/routing/dispatch_queue.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** One dispatch in this many takes the call that has waited longest. */
constexpr std::uint32_t kDispatchesPerOldest = 8;

}  // namespace

void DispatchQueue::Push(const Waiting& aWaiting) {
  mLanes.at(LaneOf(aWaiting.mPriority, aWaiting.mLong)).push_back(aWaiting);
  ++mSize;
}

void DispatchQueue::PutBack(const Waiting& aWaiting) {
  mLanes.at(LaneOf(aWaiting.mPriority, aWaiting.mLong)).push_front(aWaiting);
  ++mSize;
}

const DispatchQueue::Waiting* DispatchQueue::Front() const {
  const Waiting* highest = nullptr;
  const Waiting* oldest = nullptr;
  for (const auto& lane : mLanes) {
    if (lane.empty()) {
      continue;
    }
    highest = &lane.front();
    if (oldest == nullptr || highest->mArrivedAt < oldest->mArrivedAt) {
      oldest = highest;
    }
  }
  return IsOldestNext() ? oldest : highest;
}

const DispatchQueue::Waiting* DispatchQueue::FrontShort() const {
  for (std::size_t lane = kLanes; lane > 0; --lane) {
    const auto& waiting = mLanes.at(lane - 1);
    if (!waiting.empty() && !waiting.front().mLong) {
      return &waiting.front();
    }
  }
  return nullptr;
}

void DispatchQueue::Take(Id aId) {
  Remove(aId);
  ++mDispatchCount;
}

void DispatchQueue::Remove(Id aId) {
  for (auto& lane : mLanes) {
    const auto found = std::find_if(
        lane.begin(), lane.end(),
        [aId](const Waiting& aWaiting) { return aWaiting.mId == aId; });
    if (found != lane.end()) {
      lane.erase(found);
      --mSize;
      return;
    }
  }
}

std::vector<DispatchQueue::Id> DispatchQueue::Expire(TimePoint aNow) {
  std::vector<Id> expired;
  for (auto& lane : mLanes) {
    mSize -= std::erase_if(lane, [&](const Waiting& aWaiting) {
      if (aWaiting.mExpires > aNow) {
        return false;
      }
      expired.push_back(aWaiting.mId);
      return true;
    });
  }
  return expired;
}

std::size_t DispatchQueue::Ahead(std::uint32_t aPriority, bool aLong) const {
  std::size_t ahead = 0;
  for (std::size_t lane = LaneOf(aPriority, aLong); lane < kLanes; ++lane) {
    ahead += mLanes.at(lane).size();
  }
  return ahead;
}

bool DispatchQueue::IsOldestNext() const {
  return mDispatchCount % kDispatchesPerOldest == kDispatchesPerOldest - 1;
}

std::size_t DispatchQueue::LaneOf(std::uint32_t aPriority, bool aLong) {
  const std::size_t priority =
      std::min<std::size_t>(aPriority, kPriorities - 1);
  return 2 * priority + (aLong ? 0 : 1);
}

}  // namespace papayawheel
