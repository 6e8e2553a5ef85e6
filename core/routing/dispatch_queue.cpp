#include "core/routing/dispatch_queue.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** One turn in this many goes to the call that has waited longest. */
constexpr std::uint32_t kTurnsPerOldest = 8;

}  // namespace

void DispatchQueue::Push(Id aId, std::uint32_t aPriority, TimePoint aNow,
                         TimePoint aExpires) {
  const std::size_t lane = std::min<std::size_t>(aPriority, kPriorities - 1);
  mLanes.at(lane).push_back(Waiting{aId, aNow, aExpires});
  ++mSize;
}

std::optional<DispatchQueue::Id> DispatchQueue::Front() const {
  const auto lane = NextLane();
  if (!lane) {
    return std::nullopt;
  }
  return mLanes.at(*lane).front().mId;
}

void DispatchQueue::Pop() {
  const auto lane = NextLane();
  if (!lane) {
    return;
  }
  mLanes.at(*lane).pop_front();
  --mSize;
  ++mTurn;
}

void DispatchQueue::Remove(Id aId) {
  for (auto& lane : mLanes) {
    mSize -= std::erase_if(
        lane, [aId](const Waiting& aWaiting) { return aWaiting.mId == aId; });
  }
}

std::vector<DispatchQueue::Id> DispatchQueue::Expire(TimePoint aNow) {
  std::vector<Id> expired;
  for (auto& lane : mLanes) {
    for (const Waiting& waiting : lane) {
      if (waiting.mExpires <= aNow) {
        expired.push_back(waiting.mId);
      }
    }
    mSize -= std::erase_if(lane, [aNow](const Waiting& aWaiting) {
      return aWaiting.mExpires <= aNow;
    });
  }
  return expired;
}

std::size_t DispatchQueue::Ahead(std::uint32_t aPriority) const {
  std::size_t ahead = 0;
  for (std::size_t lane = std::min<std::size_t>(aPriority, kPriorities - 1);
       lane < kPriorities; ++lane) {
    ahead += mLanes.at(lane).size();
  }
  return ahead;
}

std::optional<std::size_t> DispatchQueue::NextLane() const {
  std::optional<std::size_t> highest;
  std::optional<std::size_t> oldest;
  for (std::size_t lane = 0; lane < kPriorities; ++lane) {
    if (mLanes.at(lane).empty()) {
      continue;
    }
    highest = lane;
    if (!oldest ||
        mLanes.at(lane).front().mSince < mLanes.at(*oldest).front().mSince) {
      oldest = lane;
    }
  }
  return mTurn % kTurnsPerOldest == kTurnsPerOldest - 1 ? oldest : highest;
}

}  // namespace papayawheel
