#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Number of hosts that watch the platform's store for the whole fleet. */
constexpr std::size_t kReaderCount = 3;

/** Returns the names of all hosts in the order in which they should read the
 * store. The first kReaderCount of them do so all the time; the others do if
 * nobody confirms the view, each one a little later than the one before.
 *
 * Hosts with more processor come first, as the readers answer to the whole
 * fleet. Hosts whose reads of the store fail come last. The readers are in
 * different data centres if possible. Draining hosts are left out, unless aSelf
 * is the only one. Hosts that know the same members return the same order;
 * while their member lists differ, more hosts may act as readers.
 * @param aSelf this host.
 * @param aOthers the other hosts that this host can reach. */
std::vector<std::string> RankReaders(const MemberRecord& aSelf,
                                     const std::vector<MemberRecord>& aOthers);

/** The readers of a ranking. */
std::vector<std::string> ReadersOf(const std::vector<std::string>& aRanked);

/** What a host does for the fleet's view of the store. */
enum class ReaderRole : std::uint8_t {
  /** It relies on the readers. */
  None,
  /** It watches the store for changes. */
  Watcher,
  /** It also makes the store answer at short intervals, which confirms the view
   * of the whole fleet. */
  Confirmer,
};

/** The part of a host in keeping the fleet's view of the store. */
struct ReaderDuty {
  ReaderRole mRole = ReaderRole::None;
  /** Number of hosts that read the store before this one if nobody confirms the
   * view; 0 for readers. */
  std::size_t mRank = 0;
};

/** The duty of a host by the ranking, whose first host is the confirmer. A host
 * that is draining has no role. */
ReaderDuty DutyOf(const MemberRecord& aSelf,
                  const std::vector<std::string>& aRanked);

}  // namespace papayawheel
