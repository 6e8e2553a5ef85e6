#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Calls of one service that wait on this host for a free slot. They are
 * ordered by priority, and within a priority short work goes before long work.
 * Every eighth dispatch takes the call that has waited longest, so that no call
 * starves. */
class DispatchQueue {
 public:
  using Id = std::uint64_t;

  /** Number of priorities; 0 is the lowest. */
  static constexpr std::size_t kPriorities = 10;

  /** A waiting call. */
  struct Waiting {
    Id mId = 0;
    std::uint32_t mPriority = 0;
    bool mLong = false;
    /** Arrival time of the call at this host. */
    TimePoint mArrivedAt;
    /** Time by which the call must have been sent. */
    TimePoint mExpires;
  };

  /** Adds a call at the back of its lane. */
  void Push(const Waiting& aWaiting);

  /** Returns a call to the front of its lane after an endpoint refused it. */
  void PutBack(const Waiting& aWaiting);

  /** The call to dispatch next, which stays queued; null if there is none. */
  [[nodiscard]] const Waiting* Front() const;

  /** The first short call, for a slot that long work may not use; null if none
   * is waiting. */
  [[nodiscard]] const Waiting* FrontShort() const;

  /** Removes a call that Front() or FrontShort() returned and counts it as
   * dispatched. */
  void Take(Id aId);

  /** Removes a call at any position; does nothing if it is not queued. */
  void Remove(Id aId);

  /** Removes and returns the calls that have expired. */
  std::vector<Id> Expire(TimePoint aNow);

  /** Number of calls that would be dispatched before a new one. */
  [[nodiscard]] std::size_t Ahead(std::uint32_t aPriority, bool aLong) const;

  [[nodiscard]] bool IsEmpty() const { return mSize == 0; }
  [[nodiscard]] std::size_t Size() const { return mSize; }

  /** Whether the next dispatch takes the call that has waited longest. */
  [[nodiscard]] bool IsOldestNext() const;

 private:
  /** Two lanes per priority: long work, then short work. */
  static constexpr std::size_t kLanes = 2 * kPriorities;

  static std::size_t LaneOf(std::uint32_t aPriority, bool aLong);

  std::array<std::deque<Waiting>, kLanes> mLanes;
  std::size_t mSize = 0;
  std::uint32_t mDispatchCount = 0;
};

}  // namespace papayawheel
