#include "core/gossip/front_directory.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "core/gossip/front_selection.h"

namespace papayawheel {
namespace {

/** A peak of the demand decays to half within this time. */
constexpr std::chrono::seconds kPeakHalfLife{10};

/** How long a selection is cached while no host changes. */
constexpr std::chrono::seconds kSelectionLifetime{1};

}  // namespace

void FrontDirectory::SetOthers(std::vector<MemberRecord> aOthers) {
  mOthers = std::move(aOthers);
  mSelected.clear();
}

void FrontDirectory::SetLoad(const HostLoad& aLoad) { mSelf.mLoad = aLoad; }

void FrontDirectory::SetReach(const ServiceReach& aReach) {
  mSelf.mReach = aReach;
  mSelected.clear();
}

void FrontDirectory::SetServing(bool aServing) {
  if (mServing != aServing) {
    mServing = aServing;
    mSelected.clear();
  }
}

std::vector<MemberRecord> FrontDirectory::Candidates() const {
  std::vector<MemberRecord> hosts = mOthers;
  if (mServing) {
    hosts.push_back(mSelf);
  }
  return hosts;
}

HostLoad FrontDirectory::DemandFor(const std::vector<MemberRecord>& aHosts,
                                   const std::string& aDataCentre,
                                   TimePoint aNow) {
  HostLoad demand = DemandOf(aHosts, aDataCentre);
  Peak& peak = mPeaks[aDataCentre];
  const double halfLives = std::chrono::duration<double>(aNow - peak.mAt) /
                           std::chrono::duration<double>(kPeakHalfLife);
  const double decay = std::exp2(-halfLives);
  demand.mRequests = std::max(demand.mRequests, peak.mLoad.mRequests * decay);
  demand.mLinkBytes =
      std::max(demand.mLinkBytes, peak.mLoad.mLinkBytes * decay);
  peak = Peak{demand, aNow};
  return demand;
}

std::vector<std::string> FrontDirectory::Select(const std::string& aDataCentre,
                                                TimePoint aNow) {
  const auto cached = mSelected.find(aDataCentre);
  if (cached != mSelected.end() && aNow < cached->second.mExpiresAt) {
    return cached->second.mAddresses;
  }
  const std::vector<MemberRecord> hosts = Candidates();
  const bool hasHosts = std::any_of(hosts.begin(), hosts.end(),
                                    [&aDataCentre](const MemberRecord& aHost) {
                                      return aHost.mDataCentre == aDataCentre;
                                    });
  if (!hasHosts) {
    return SelectFronts(hosts, aDataCentre, HostLoad{});
  }
  Selection selection;
  selection.mAddresses =
      SelectFronts(hosts, aDataCentre, DemandFor(hosts, aDataCentre, aNow));
  selection.mExpiresAt = aNow + kSelectionLifetime;
  mSelected[aDataCentre] = selection;
  return selection.mAddresses;
}

std::vector<MemberRecord> FrontDirectory::Selected(TimePoint aNow) {
  std::vector<MemberRecord> hosts = Candidates();
  std::set<std::string> dataCentres;
  for (const MemberRecord& host : hosts) {
    dataCentres.insert(host.mDataCentre);
  }
  std::set<std::string> addresses;
  for (const std::string& dataCentre : dataCentres) {
    const auto selected = Select(dataCentre, aNow);
    addresses.insert(selected.begin(), selected.end());
  }
  std::erase_if(hosts, [&addresses](const MemberRecord& aHost) {
    return !addresses.contains(aHost.mFrontAddress);
  });
  return hosts;
}

}  // namespace papayawheel
