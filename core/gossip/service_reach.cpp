#include "core/gossip/service_reach.h"

#include <algorithm>

#include "core/base/rendezvous.h"
#include "core/gossip/gossip_message.h"

namespace papayawheel {
namespace {

/** Hosts that find out whether a service is reached which another one has lost.
 * Several, as some may have lost it too. */
constexpr std::size_t kCheckingHosts = 4;

/** Services that a host which serves callers reaches and has not lost. */
std::set<std::string> ReachedServices(const std::vector<MemberRecord>& aHosts) {
  std::set<std::string> reached;
  for (const MemberRecord& host : aHosts) {
    if (host.mState != MemberState::Ready) {
      continue;
    }
    for (const std::string& service : host.mReach.mReached) {
      if (!host.mReach.mLost.contains(service)) {
        reached.insert(service);
      }
    }
  }
  return reached;
}

}  // namespace

std::vector<MemberRecord> WithoutCutOffHosts(
    const std::vector<MemberRecord>& aHosts) {
  const std::set<std::string> reached = ReachedServices(aHosts);
  if (reached.empty()) {
    return aHosts;
  }
  std::vector<MemberRecord> kept;
  for (const MemberRecord& host : aHosts) {
    const std::set<std::string>& lost = host.mReach.mLost;
    const bool isCutOff = std::any_of(lost.begin(), lost.end(),
                                      [&reached](const std::string& aService) {
                                        return reached.contains(aService);
                                      });
    if (!isCutOff) {
      kept.push_back(host);
    }
  }
  return kept;
}

std::set<std::string> ServicesToCheck(
    const MemberRecord& aSelf, const std::vector<MemberRecord>& aOthers) {
  std::set<std::string> lostByOthers;
  for (const MemberRecord& host : aOthers) {
    lostByOthers.insert(host.mReach.mLost.begin(), host.mReach.mLost.end());
  }
  std::set<std::string> services;
  for (const std::string& service : lostByOthers) {
    std::vector<std::string> candidates = {aSelf.mName};
    for (const MemberRecord& host : aOthers) {
      const bool isCandidate = host.mState == MemberState::Ready &&
                               !host.mReach.mLost.contains(service);
      if (isCandidate) {
        candidates.push_back(host.mName);
      }
    }
    const auto ranked = RankByRendezvous(service, candidates);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(
                                          kCheckingHosts, ranked.size()));
    if (std::find(ranked.begin(), end, aSelf.mName) != end) {
      services.insert(service);
    }
  }
  return services;
}

}  // namespace papayawheel
