#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/base/clock.h"

namespace papayawheel {

/** The dates of the store's answers that have confirmed the view, as this host
 * first learned of them.
 *
 * Hosts tell each other of several such answers at the same time. Each message
 * dates its answer a little too late, by the time that it was on its way, or
 * too early, if its arrival is not known exactly. If a host dated an answer
 * anew whenever it hears of it, these errors would add up: an old view would be
 * confirmed for ever, or a confirmation would soon seem old. */
class ConfirmationHistory {
 public:
  /** Records that an answer is dated at a time. Returns the time at which it
   * was dated here first.
   * @param aId identifies the answer; 0 if unknown. */
  TimePoint DateOf(std::uint64_t aId, TimePoint aAt);

 private:
  std::unordered_map<std::uint64_t, TimePoint> mDates;
  /** The ids of mDates, the one that was first heard of first. */
  std::deque<std::uint64_t> mOrder;
};

}  // namespace papayawheel
