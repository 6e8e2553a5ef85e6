#include "core/gossip/front_selection.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** With a single host, its failure would leave all callers without service. */
constexpr std::size_t kMinFronts = 2;
/** Number of hosts that is selected at low load if enough hosts are in the
 * largest capacity tier. */
constexpr std::size_t kDefaultFronts = 4;
/** Callers accept no more addresses. */
constexpr std::size_t kMaxFronts = 64;

/** Part of a host's processor and link that callers may use in normal
 * operation. The rest is for load spikes, because they arrive before callers
 * get a new list of hosts. */
constexpr double kTargetUtilization = 0.25;

/** Processor time of a request, in seconds of one core. */
constexpr double kCoreSecondsPerRequest = 250e-6;

/** Capacity of a tier in relation to the next larger one. A host with less than
 * this part of the largest capacity is selected only if the larger hosts do not
 * suffice. */
constexpr double kTierRatio = 0.5;

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/** Load that a host may get in normal operation; unlimited where its capacity
 * is unknown. */
struct Allowance {
  double mRequests = kUnlimited;
  double mLinkBytes = kUnlimited;
};

Allowance AllowanceOf(const HostCapacity& aCapacity) {
  Allowance allowance;
  if (aCapacity.mCores > 0) {
    allowance.mRequests =
        kTargetUtilization * aCapacity.mCores / kCoreSecondsPerRequest;
  }
  if (aCapacity.mLinkBytes > 0) {
    allowance.mLinkBytes = kTargetUtilization * aCapacity.mLinkBytes;
  }
  return allowance;
}

/** Capacity of a host as a part of the largest one, by its scarcer resource. */
double RelativeCapacityOf(const HostCapacity& aCapacity,
                          const HostCapacity& aStrongest) {
  const double cores =
      aStrongest.mCores > 0 ? aCapacity.mCores / aStrongest.mCores : 1;
  const double link = aStrongest.mLinkBytes > 0
                          ? aCapacity.mLinkBytes / aStrongest.mLinkBytes
                          : 1;
  return std::min(cores, link);
}

/** Capacity tier of a host: 0 for the largest hosts, and one more for each
 * halving of the capacity. */
int CapacityTierOf(double aRelativeCapacity) {
  constexpr int kLowestTier = 16;
  if (aRelativeCapacity <= 0) {
    return kLowestTier;
  }
  const double halvings = std::log(aRelativeCapacity) / std::log(kTierRatio);
  return std::min(kLowestTier, static_cast<int>(halvings));
}

struct Front {
  std::string mAddress;
  HostCapacity mCapacity;
  int mTier = 0;
};

/** Sorts the hosts by tier, the largest first. Within a tier, all hosts compute
 * the same order, and the loss of one does not change it for the others. */
std::vector<Front> OrderByCapacity(
    const std::string& aSubject, const std::map<std::string, Front>& aByName) {
  HostCapacity strongest;
  std::vector<std::string> names;
  for (const auto& [name, front] : aByName) {
    strongest.mCores = std::max(strongest.mCores, front.mCapacity.mCores);
    strongest.mLinkBytes =
        std::max(strongest.mLinkBytes, front.mCapacity.mLinkBytes);
    names.push_back(name);
  }
  std::vector<Front> ordered;
  for (const std::string& name : RankByRendezvous(aSubject, names)) {
    Front front = aByName.at(name);
    front.mTier =
        CapacityTierOf(RelativeCapacityOf(front.mCapacity, strongest));
    ordered.push_back(std::move(front));
  }
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const Front& aLeft, const Front& aRight) {
                     return aLeft.mTier < aRight.mTier;
                   });
  return ordered;
}

/** Smallest number of hosts to select. */
std::size_t MinFrontsOf(const std::vector<Front>& aOrdered) {
  const auto strong = static_cast<std::size_t>(
      std::count_if(aOrdered.begin(), aOrdered.end(),
                    [](const Front& aFront) { return aFront.mTier == 0; }));
  const std::size_t count = std::clamp(strong, kMinFronts, kDefaultFronts);
  return std::min(count, aOrdered.size());
}

/** Whether this number of hosts may be selected. Numbers grow in steps of about
 * a half, so that hosts whose load data differ a little select the same hosts.
 * A number that includes the whole of the last tier is allowed, too. */
bool IsAllowedCount(const std::vector<Front>& aOrdered, std::size_t aCount) {
  const bool endsTier = aCount == aOrdered.size() ||
                        aOrdered[aCount].mTier != aOrdered[aCount - 1].mTier;
  std::size_t step = 1;
  while (step < aCount) {
    step += std::max<std::size_t>(1, step / 2);
  }
  return endsTier || step == aCount || aCount == kMaxFronts;
}

/** Smallest allowed number of hosts, in order, that can serve the demand within
 * their allowances. If there is none, the number that leaves the most loaded
 * host the most room. */
std::size_t CountForDemand(const std::vector<Front>& aOrdered,
                           const HostLoad& aDemand) {
  const std::size_t maxCount = std::min(aOrdered.size(), kMaxFronts);
  const std::size_t minCount = MinFrontsOf(aOrdered);
  Allowance smallest;
  std::size_t best = maxCount;
  double bestUtilization = kUnlimited;
  for (std::size_t count = 1; count <= maxCount; ++count) {
    const Allowance allowance = AllowanceOf(aOrdered[count - 1].mCapacity);
    smallest.mRequests = std::min(smallest.mRequests, allowance.mRequests);
    smallest.mLinkBytes = std::min(smallest.mLinkBytes, allowance.mLinkBytes);
    if (count < minCount || !IsAllowedCount(aOrdered, count)) {
      continue;
    }
    const double utilization =
        std::max(aDemand.mRequests / smallest.mRequests,
                 aDemand.mLinkBytes / smallest.mLinkBytes) /
        static_cast<double>(count);
    if (utilization <= 1) {
      return count;
    }
    if (utilization < bestUtilization) {
      best = count;
      bestUtilization = utilization;
    }
  }
  return best;
}

}  // namespace

HostLoad DemandOf(const std::vector<MemberRecord>& aHosts,
                  const std::string& aDataCentre) {
  HostLoad demand;
  for (const MemberRecord& host : aHosts) {
    if (host.mDataCentre == aDataCentre) {
      demand.mRequests += host.mLoad.mRequests;
      demand.mLinkBytes += host.mLoad.mLinkBytes;
    }
  }
  return demand;
}

std::vector<std::string> SelectFronts(const std::vector<MemberRecord>& aHosts,
                                      const std::string& aDataCentre,
                                      const HostLoad& aDemand) {
  std::map<std::string, Front> near;
  std::map<std::string, Front> all;
  for (const MemberRecord& host : WithoutCutOffHosts(aHosts)) {
    if (host.mState != MemberState::Ready) {
      continue;
    }
    const Front front{host.mFrontAddress, host.mCapacity};
    all.emplace(host.mName, front);
    if (host.mDataCentre == aDataCentre) {
      near.emplace(host.mName, front);
    }
  }
  const bool enough = near.size() >= kMinFronts;
  const std::vector<Front> ordered =
      OrderByCapacity(aDataCentre, enough ? near : all);
  const std::size_t count = CountForDemand(ordered, aDemand);
  std::vector<std::string> addresses;
  for (std::size_t index = 0; index < count; ++index) {
    addresses.push_back(ordered[index].mAddress);
  }
  return addresses;
}

}  // namespace papayawheel
