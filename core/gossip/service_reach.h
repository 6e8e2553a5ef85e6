#pragma once

#include <set>
#include <string>
#include <vector>

namespace papayawheel {

struct MemberRecord;

/** What a host reports of its paths to the endpoints of services. */
struct ServiceReach {
  /** Services of which no endpoint answers this host. */
  std::set<std::string> mLost;
  /** Services that another host has lost and whose endpoints answer this one.
   */
  std::set<std::string> mReached;

  bool operator==(const ServiceReach&) const = default;
};

/** Returns the hosts without those that have lost a service which another host
 * reaches. A service that no host reaches is down, which is no reason to leave
 * a host out. Returns all hosts if none would be left. */
std::vector<MemberRecord> WithoutCutOffHosts(
    const std::vector<MemberRecord>& aHosts);

/** The services for which a host must find out whether it reaches them: another
 * host has lost them, and this one is among the few that are chosen to tell a
 * cut host from a service that is down. All hosts that know the same members
 * choose the same ones. */
std::set<std::string> ServicesToCheck(const MemberRecord& aSelf,
                                      const std::vector<MemberRecord>& aOthers);

}  // namespace papayawheel
