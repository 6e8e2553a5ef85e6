#include "core/gossip/front_directory.h"

#include <algorithm>
#include <utility>

#include "core/gossip/front_selection.h"

namespace papayawheel {

void FrontDirectory::SetOthers(std::vector<MemberRecord> aOthers) {
  mOthers = std::move(aOthers);
  mSelected.clear();
}

void FrontDirectory::SetSelf(const std::optional<MemberRecord>& aSelf) {
  if (mSelf.has_value() != aSelf.has_value()) {
    mSelf = aSelf;
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
  if (mSelf) {
    hosts.push_back(*mSelf);
  }
  std::vector<std::string> selected = SelectFronts(hosts, aDataCentre, mMost);
  if (HasHostsIn(aDataCentre)) {
    mSelected.emplace(aDataCentre, selected);
  }
  return selected;
}

bool FrontDirectory::HasHostsIn(const std::string& aDataCentre) const {
  const auto isIn = [&aDataCentre](const MemberRecord& aHost) {
    return aHost.mDataCentre == aDataCentre;
  };
  return (mSelf && isIn(*mSelf)) ||
         std::any_of(mOthers.begin(), mOthers.end(), isIn);
}

}  // namespace papayawheel
