#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** The hosts that callers of one data centre are sent to: few, so that each of
 * them sees much of the endpoints' load, near the callers, and the same ones
 * whichever host is asked.
 * @param aHosts reachable hosts and the one that is asked.
 * @param aMost hosts to name, unless the data centre has fewer.
 * @return addresses for callers; those of other data centres if the callers'
 * own has fewer than two hosts that serve. */
std::vector<std::string> SelectFronts(const std::vector<MemberRecord>& aHosts,
                                      const std::string& aDataCentre,
                                      std::size_t aMost);

}  // namespace papayawheel
