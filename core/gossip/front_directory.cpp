#include "core/gossip/front_directory.h"

#include <algorithm>
#include <utility>

#include "core/gossip/front_selection.h"

namespace papayawheel {

void FrontDirectory::SetOthers(std::vector<MemberRecord> aOthers) {
  mOthers = std::move(aOthers);
  mSelected.clear();
}

void FrontDirectory::SetServing(bool aServes) {
  if (mServes != aServes) {
    mServes = aServes;
    mSelected.clear();
  }
}

std::vector<std::string> FrontDirectory::Select(
    const std::string& aDataCentre) {
  const auto known = mSelected.find(aDataCentre);
  if (known != mSelected.end()) {
    return known->second;
  }
  std::vector<MemberRecord> hosts = mOthers;
  if (mServes) {
    hosts.push_back(mSelf);
  }
  std::vector<std::string> selected = SelectFronts(hosts, aDataCentre, mMost);
  const bool hasHosts = std::any_of(hosts.begin(), hosts.end(),
                                    [&aDataCentre](const MemberRecord& aHost) {
                                      return aHost.mDataCentre == aDataCentre;
                                    });
  if (hasHosts) {
    mSelected.emplace(aDataCentre, selected);
  }
  return selected;
}

}  // namespace papayawheel
