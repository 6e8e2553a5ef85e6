#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Calls of one service that wait on this host for a free slot. A higher
 * priority goes first; one in a few turns goes to the call that has waited
 * longest, so no priority starves. */
class DispatchQueue {
 public:
  using Id = std::uint64_t;

  /** Number of priorities, lowest 0. */
  static constexpr std::size_t kPriorities = 10;

  void Push(Id aId, std::uint32_t aPriority, TimePoint aNow,
            TimePoint aExpires);

  /** The next call to send, which stays in the queue. */
  [[nodiscard]] std::optional<Id> Front() const;

  /** Removes the call that Front() names. */
  void Pop();

  /** Removes a call wherever it stands. */
  void Remove(Id aId);

  /** Removes and returns the calls whose time has run out. */
  std::vector<Id> Expire(TimePoint aNow);

  /** Calls that would be served before a new one of this priority. */
  [[nodiscard]] std::size_t Ahead(std::uint32_t aPriority) const;

  [[nodiscard]] bool IsEmpty() const { return mSize == 0; }
  [[nodiscard]] std::size_t Size() const { return mSize; }

 private:
  struct Waiting {
    Id mId;
    TimePoint mSince;
    TimePoint mExpires;
  };

  [[nodiscard]] std::optional<std::size_t> NextLane() const;

  std::array<std::deque<Waiting>, kPriorities> mLanes;
  std::size_t mSize = 0;
  std::uint32_t mTurn = 0;
};

}  // namespace papayawheel
