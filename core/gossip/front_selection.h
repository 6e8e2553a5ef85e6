#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"
#include "core/gossip/host_load.h"

namespace papayawheel {

/** What the callers of a data centre make the hosts there carry together. */
HostLoad DemandOf(const std::vector<MemberRecord>& aHosts,
                  const std::string& aDataCentre);

/** The hosts that callers of one data centre are sent to, near the callers and
 * the same ones whichever host is asked. Callers divide themselves evenly over
 * them, so no more are named than it takes to leave each host room for a crest:
 * the fewer there are, the more each of them sees of the endpoints' load. Those
 * that can carry the most come first.
 * @param aHosts reachable hosts and the one that is asked.
 * @param aDemand what they are to carry.
 * @return addresses for callers; those of other data centres if the callers'
 * own has fewer than two hosts that serve. */
std::vector<std::string> SelectFronts(const std::vector<MemberRecord>& aHosts,
                                      const std::string& aDataCentre,
                                      const HostLoad& aDemand);

}  // namespace papayawheel
