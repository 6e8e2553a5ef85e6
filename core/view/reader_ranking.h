#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Number of hosts that watch the platform's store for the whole fleet. */
constexpr std::size_t kReaderCount = 3;

/** Returns the names of at most kReaderCount hosts that should watch the store.
 * Hosts that are draining, or whose reads of the store fail, are not chosen;
 * only when no other host qualifies is aSelf chosen all the same. Different
 * data centres are preferred. Hosts that know the same members choose the same
 * readers; while their member lists differ, more hosts may act as readers.
 * @param aSelf this host.
 * @param aOthers the other hosts that this host can reach. */
std::vector<std::string> ChooseReaders(
    const MemberRecord& aSelf, const std::vector<MemberRecord>& aOthers);

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

/** The role of a host by the list of readers, whose first one is the confirmer.
 * A host that is draining has none. */
ReaderRole RoleOf(const MemberRecord& aSelf,
                  const std::vector<std::string>& aReaders);

}  // namespace papayawheel
