#pragma once

#include <cstddef>
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

/** Whether a host is in the list of readers and is not draining. */
bool IsReader(const MemberRecord& aSelf,
              const std::vector<std::string>& aReaders);

}  // namespace papayawheel
