#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "core/base/clock.h"

namespace papayawheel {

/** Generations of a member list and of the loads in it. */
using MemberGenerations = std::pair<std::uint64_t, std::uint64_t>;

/** Decides when a changed member list is passed on to the traffic thread.
 *
 * The traffic thread then selects the hosts for callers anew, which takes time
 * in proportion to the number of hosts. Changes are therefore joined for a time
 * in the same proportion, so that the share of the processor that is used for
 * them does not grow with the fleet. */
class MemberPublication {
 public:
  /** Whether to pass the list on now. The time of a call that returns true is
   * noted.
   * @param aMembers number of known hosts. */
  bool IsDue(const MemberGenerations& aCurrent, std::size_t aMembers,
             TimePoint aNow);
  /** When changes that wait are due; empty if there are none. */
  [[nodiscard]] const std::optional<TimePoint>& NextDue() const {
    return mNextDue;
  }

 private:
  MemberGenerations mPublished;
  TimePoint mEarliest;
  std::optional<TimePoint> mNextDue;
};

}  // namespace papayawheel
