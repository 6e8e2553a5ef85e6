#include "core/gossip/front_selection.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** One host alone would take all of its callers along when it fails. */
constexpr std::size_t kMinFronts = 2;
/** As many as are named of hosts that are alike and have little to do. */
constexpr std::size_t kDefaultFronts = 4;
/** Callers take no more addresses. */
constexpr std::size_t kMaxFronts = 64;

/** Part of a host's processor and link that callers may use at an ordinary
 * moment. The rest is for crests, which come sooner than a new answer. */
constexpr double kTargetUtilization = 0.25;

/** Processor time of a request, in seconds of a core. */
constexpr double kCoreSecondsPerRequest = 250e-6;

/** A host that can carry less than this part of what the strongest one can is
 * named only if the stronger ones do not suffice. */
constexpr double kTierRatio = 0.5;

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/** What a host may be given at an ordinary moment. */
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

/** How strong a host is beside the strongest ones, by its scarcer resource. */
double RelativeCapacityOf(const HostCapacity& aCapacity,
                          const HostCapacity& aStrongest) {
  const double cores =
      aStrongest.mCores > 0 ? aCapacity.mCores / aStrongest.mCores : 1;
  const double link = aStrongest.mLinkBytes > 0
                          ? aCapacity.mLinkBytes / aStrongest.mLinkBytes
                          : 1;
  return std::min(cores, link);
}

/** How many times a host is weaker than the strongest, in powers of two. */
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

/** The hosts with the strongest first, among equals in an order that all hosts
 * find and that the loss of one does not change for the others. */
std::vector<Front> OrderByCapacity(
    const std::string& aSubject, const std::map<std::string, Front>& aByName) {
  HostCapacity most;
  std::vector<std::string> names;
  for (const auto& [name, front] : aByName) {
    most.mCores = std::max(most.mCores, front.mCapacity.mCores);
    most.mLinkBytes = std::max(most.mLinkBytes, front.mCapacity.mLinkBytes);
    names.push_back(name);
  }
  std::vector<Front> ordered;
  for (const std::string& name : RankByRendezvous(aSubject, names)) {
    Front front = aByName.at(name);
    front.mTier = CapacityTierOf(RelativeCapacityOf(front.mCapacity, most));
    ordered.push_back(std::move(front));
  }
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const Front& aLeft, const Front& aRight) {
                     return aLeft.mTier < aRight.mTier;
                   });
  return ordered;
}

/** The least number of hosts that is named. */
std::size_t MinFrontsOf(const std::vector<Front>& aOrdered) {
  const auto strong = static_cast<std::size_t>(
      std::count_if(aOrdered.begin(), aOrdered.end(),
                    [](const Front& aFront) { return aFront.mTier == 0; }));
  const std::size_t least = std::clamp(strong, kMinFronts, kDefaultFronts);
  return std::min(least, aOrdered.size());
}

/** Whether a number of hosts is one of those that are named: in steps of about
 * a half, so that hosts which measure a little differently name the same ones,
 * or all that are as strong as the last one. */
bool IsAllowedCount(const std::vector<Front>& aOrdered, std::size_t aCount) {
  const bool endsTier = aCount == aOrdered.size() ||
                        aOrdered[aCount].mTier != aOrdered[aCount - 1].mTier;
  std::size_t step = 1;
  while (step < aCount) {
    step += std::max<std::size_t>(1, step / 2);
  }
  return endsTier || step == aCount || aCount == kMaxFronts;
}

/** How many of the first hosts carry the demand with room for a crest; if no
 * number does, the one that leaves the most loaded host the most room. */
std::size_t CountForDemand(const std::vector<Front>& aOrdered,
                           const HostLoad& aDemand) {
  const std::size_t most = std::min(aOrdered.size(), kMaxFronts);
  const std::size_t least = MinFrontsOf(aOrdered);
  Allowance weakest;
  std::size_t best = most;
  double bestUse = kUnlimited;
  for (std::size_t count = 1; count <= most; ++count) {
    const Allowance allowance = AllowanceOf(aOrdered[count - 1].mCapacity);
    weakest.mRequests = std::min(weakest.mRequests, allowance.mRequests);
    weakest.mLinkBytes = std::min(weakest.mLinkBytes, allowance.mLinkBytes);
    if (count < least || !IsAllowedCount(aOrdered, count)) {
      continue;
    }
    const double use = std::max(aDemand.mRequests / weakest.mRequests,
                                aDemand.mLinkBytes / weakest.mLinkBytes) /
                       static_cast<double>(count);
    if (use <= 1) {
      return count;
    }
    if (use < bestUse) {
      best = count;
      bestUse = use;
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
  for (const MemberRecord& host : aHosts) {
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
