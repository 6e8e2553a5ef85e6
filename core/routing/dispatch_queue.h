#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Calls of one service that wait on this host for a free slot. A higher
 * priority goes first, and within a priority short work goes before long; one
 * in a few turns goes to the call that has waited longest, so nothing starves.
 */
class DispatchQueue {
 public:
  using Id = std::uint64_t;

  /** Number of priorities, lowest 0. */
  static constexpr std::size_t kPriorities = 10;

  /** A call that waits. */
  struct Waiting {
    Id mId = 0;
    std::uint32_t mPriority = 0;
    bool mLong = false;
    /** When the call arrived at the host. */
    TimePoint mArrivedAt;
    /** When it must have been sent. */
    TimePoint mExpires;
  };

  /** Adds a call behind its like. */
  void Push(const Waiting& aWaiting);

  /** Puts a call back before its like, after an endpoint refused it. */
  void PutBack(const Waiting& aWaiting);

  /** The call whose turn it is, which stays in the queue; null if none. */
  [[nodiscard]] const Waiting* Front() const;

  /** The first short call, for a slot that is kept free of long work. */
  [[nodiscard]] const Waiting* FrontShort() const;

  /** Removes a call that Front() or FrontShort() gave; this ends the turn. */
  void Take(Id aId);

  /** Removes a call wherever it stands. */
  void Remove(Id aId);

  /** Removes and returns the calls whose time has run out. */
  std::vector<Id> Expire(TimePoint aNow);

  /** Calls that would be served before a new one. */
  [[nodiscard]] std::size_t Ahead(std::uint32_t aPriority, bool aLong) const;

  [[nodiscard]] bool IsEmpty() const { return mSize == 0; }
  [[nodiscard]] std::size_t Size() const { return mSize; }

  /** Whether this turn goes to the call that has waited longest. */
  [[nodiscard]] bool IsOldestNext() const;

 private:
  /** Two lanes a priority: long work, then short. */
  static constexpr std::size_t kLanes = 2 * kPriorities;

  static std::size_t LaneOf(std::uint32_t aPriority, bool aLong);

  std::array<std::deque<Waiting>, kLanes> mLanes;
  std::size_t mSize = 0;
  std::uint32_t mDispatchCount = 0;
};

}  // namespace papayawheel
