#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Hosts that watch the platform's store for the whole fleet. */
constexpr std::size_t kReaderCount = 3;

/** The names of the hosts that should watch the store, given the hosts that
 * one of them can reach. Hosts whose reads fail come last, and the first ones
 * are taken from different data centres. Hosts that see the same fleet choose
 * the same readers; where views differ there are some more readers for a while.
 * @param aOthers reachable hosts without this one. */
std::vector<std::string> ChooseReaders(
    const MemberRecord& aSelf, const std::vector<MemberRecord>& aOthers);

/** Whether a host is one of those and does not leave. */
bool IsReader(const MemberRecord& aSelf,
              const std::vector<std::string>& aReaders);

}  // namespace papayawheel
