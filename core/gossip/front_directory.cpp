#include "core/gossip/front_directory.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "core/gossip/front_selection.h"

namespace papayawheel {
namespace {

/** A peak counts half after this. */
constexpr std::chrono::seconds kPeakHalfLife{10};

/** How long a selection holds while no host changes. */
constexpr std::chrono::seconds kSelectionLifetime{1};

}  // namespace

void FrontDirectory::SetOthers(std::vector<MemberRecord> aOthers) {
  mOthers = std::move(aOthers);
  mSelected.clear();
}

void FrontDirectory::SetLoad(const HostLoad& aLoad) { mSelf.mLoad = aLoad; }

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
  const double left = std::exp2(-halfLives);
  demand.mRequests = std::max(demand.mRequests, peak.mLoad.mRequests * left);
  demand.mLinkBytes = std::max(demand.mLinkBytes, peak.mLoad.mLinkBytes * left);
  peak = Peak{demand, aNow};
  return demand;
}

std::vector<std::string> FrontDirectory::Select(const std::string& aDataCentre,
                                                TimePoint aNow) {
  const auto known = mSelected.find(aDataCentre);
  if (known != mSelected.end() && aNow < known->second.mExpiresAt) {
    return known->second.mAddresses;
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

std::size_t FrontDirectory::CountSelected(TimePoint aNow) {
  std::set<std::string> centres;
  for (const MemberRecord& host : Candidates()) {
    centres.insert(host.mDataCentre);
  }
  std::set<std::string> named;
  for (const std::string& centre : centres) {
    const auto selected = Select(centre, aNow);
    named.insert(selected.begin(), selected.end());
  }
  return named.size();
}

}  // namespace papayawheel
