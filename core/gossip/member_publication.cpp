#include "core/gossip/member_publication.h"

namespace papayawheel {
namespace {

/** Minimum interval between two publications, for each known host. Selecting
 * the hosts for callers takes up to 0.005 ms for each host on a whole core, so
 * this uses at most 3% of the smallest hosts, which have 0.07 of a core. */
constexpr std::chrono::milliseconds kIntervalPerMember{2};

}  // namespace

bool MemberPublication::IsDue(const MemberGenerations& aCurrent,
                              std::size_t aMembers, TimePoint aNow) {
  if (aCurrent == mPublished) {
    mNextDue.reset();
    return false;
  }
  if (aNow < mEarliest) {
    mNextDue = mEarliest;
    return false;
  }
  mPublished = aCurrent;
  mEarliest = aNow + kIntervalPerMember * aMembers;
  mNextDue.reset();
  return true;
}

}  // namespace papayawheel
