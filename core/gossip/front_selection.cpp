#include "core/gossip/front_selection.h"

#include <map>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** One host alone would take all of its callers along when it fails. */
constexpr std::size_t kLeastFronts = 2;

std::vector<std::string> RankedAddresses(
    const std::string& aSubject,
    const std::map<std::string, std::string>& aAddressByName,
    std::size_t aMost) {
  std::vector<std::string> names;
  names.reserve(aAddressByName.size());
  for (const auto& [name, address] : aAddressByName) {
    names.push_back(name);
  }
  std::vector<std::string> addresses;
  for (const std::string& name : RankByRendezvous(aSubject, names)) {
    if (addresses.size() < aMost) {
      addresses.push_back(aAddressByName.at(name));
    }
  }
  return addresses;
}

}  // namespace

std::vector<std::string> SelectFronts(const std::vector<MemberRecord>& aHosts,
                                      const std::string& aDataCentre,
                                      std::size_t aMost) {
  std::map<std::string, std::string> near;
  std::map<std::string, std::string> all;
  for (const MemberRecord& host : aHosts) {
    if (host.mState != MemberState::Ready) {
      continue;
    }
    all.emplace(host.mName, host.mFrontAddress);
    if (host.mDataCentre == aDataCentre) {
      near.emplace(host.mName, host.mFrontAddress);
    }
  }
  const bool enough = near.size() >= kLeastFronts;
  return RankedAddresses(aDataCentre, enough ? near : all, aMost);
}

}  // namespace papayawheel
