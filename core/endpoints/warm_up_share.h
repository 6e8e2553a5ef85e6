#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayawheel {

/** The platform's bound on requests to a cold endpoint: in any second, all
 * hosts together may send it its sustainable rate times mOver, plus mSlack. */
struct WarmUpTerms {
  double mOver = 1.5;
  double mSlack = 8;
};

/** Returns how many requests all hosts together plan to send to a cold endpoint
 * in a second. This is half of the bound, so that it still holds while hosts
 * disagree on who they are and twice as many believe that they may send.
 * @param aPerSecond requests per second that the endpoint can sustain. */
std::uint32_t PlannedWarmUpRequests(double aPerSecond,
                                    const WarmUpTerms& aTerms);

/** Divides the planned requests to a cold endpoint among the hosts. The first
 * hosts by rendezvous hashing hold a request each, or several if there are few
 * hosts; the others hold none. Hosts need no messages for this.
 * @param aHosts names of all known hosts, reachable or not.
 * @returns the number of requests that this host may send in a second. */
std::uint32_t ShareOfWarmUp(const std::string& aEndpoint,
                            std::uint32_t aPlanned, const std::string& aSelf,
                            const std::vector<std::string>& aHosts);

}  // namespace papayawheel
