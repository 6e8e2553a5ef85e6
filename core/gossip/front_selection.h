#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"
#include "core/gossip/host_load.h"

namespace papayawheel {

/** Sum of the load of all hosts in a data centre. */
HostLoad DemandOf(const std::vector<MemberRecord>& aHosts,
                  const std::string& aDataCentre);

/** Selects the hosts that the callers of a data centre connect to.
 *
 * Hosts that have lost their paths to endpoints are left out, see
 * WithoutCutOffHosts().
 * Hosts in the callers' data centre are preferred, and all hosts that have the
 * same data select the same ones. Callers spread evenly over them. Only as many
 * are selected as it takes to leave each host room for load spikes: the fewer
 * there are, the more each of them sees of the endpoints' load. Hosts with the
 * most capacity come first.
 * @param aHosts reachable hosts, and the one that answers.
 * @param aDemand expected load of all selected hosts together.
 * @return addresses for callers; taken from all data centres if the callers'
 * own has fewer than two hosts that serve. */
std::vector<std::string> SelectFronts(const std::vector<MemberRecord>& aHosts,
                                      const std::string& aDataCentre,
                                      const HostLoad& aDemand);

}  // namespace papayawheel
