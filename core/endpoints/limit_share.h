#pragma once

#include <string>
#include <vector>

namespace papayawheel {

/** A host that callers connect to. */
struct CallerHost {
  /** Its address for callers, which identifies it. */
  std::string mAddress;
  std::string mDataCentre;
};

/** Divides the limit of an endpoint among the hosts that send it requests. A
 * few hosts, chosen by rendezvous hashing, use most of it; the others send a
 * request now and then, by whose answer they learn that the limit has ended.
 * The hosts need no messages for this. While they disagree on who they are,
 * they may send up to twice their part, which stays below one and a half times
 * the limit.
 *
 * @param aLimit requests per second that the endpoint accepts from all hosts.
 * @param aSelf this host's address, in aHosts or not.
 * @returns the requests per second that this host may send. */
double ShareOfLimit(const std::string& aEndpoint,
                    const std::string& aDataCentre, double aLimit,
                    const std::string& aSelf,
                    const std::vector<CallerHost>& aHosts);

}  // namespace papayawheel
