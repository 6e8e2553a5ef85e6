#include "core/limits/share_split.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** Minimum number of share holders of a contract, if its burst and its
 * concurrency have as many whole units. */
constexpr std::uint32_t kMinHolders = 3;

/** Beyond the minimum, a contract gets one share holder for this many units of
 * its burst or its concurrency, whichever is smaller. */
constexpr std::uint32_t kUnitsPerHolder = 4;

std::size_t CountHolders(const Contract& aContract, std::size_t aHosts) {
  const std::uint32_t units =
      std::min(aContract.mBurst, aContract.mConcurrency);
  const std::uint32_t wanted =
      std::max(std::min(kMinHolders, units), units / kUnitsPerHolder);
  return std::min<std::size_t>(wanted, aHosts);
}

/** Picks the best-ranked host of every data centre, then the second-best of
 * each, and so on. */
std::vector<std::string> PickAcrossDataCentres(
    std::vector<std::string> aRanked, const std::map<std::string, Host>& aHosts,
    std::size_t aCount) {
  std::vector<std::string> picked;
  while (picked.size() < aCount) {
    std::set<std::string> used;
    std::vector<std::string> rest;
    for (std::string& name : aRanked) {
      const bool first = used.insert(aHosts.at(name).mDataCentre).second;
      if (first && picked.size() < aCount) {
        picked.push_back(std::move(name));
      } else {
        rest.push_back(std::move(name));
      }
    }
    aRanked = std::move(rest);
  }
  return picked;
}

/** Returns the number of units for the share holder at an index. The remainder
 * of the division goes to the first holders, one unit each. */
std::uint32_t DealUnits(std::uint32_t aUnits, std::size_t aHolders,
                        std::size_t aIndex) {
  const auto holders = static_cast<std::uint32_t>(aHolders);
  return aUnits / holders + (aIndex < aUnits % holders ? 1 : 0);
}

}  // namespace

Share ComponentwiseMin(const Share& aLeft, const Share& aRight) {
  return Share{std::min(aLeft.mRatePerSecond, aRight.mRatePerSecond),
               std::min(aLeft.mBurst, aRight.mBurst),
               std::min(aLeft.mConcurrency, aRight.mConcurrency)};
}

Share ShareSplit::ShareOf(const std::string& aHost) const {
  const auto found = mShares.find(aHost);
  return found == mShares.end() ? Share{} : found->second;
}

ShareSplit SplitContract(const Contract& aContract,
                         const std::map<std::string, Host>& aHosts) {
  std::vector<std::string> ranked =
      RankByRendezvous(aContract.mCustomer, LiveHosts(aHosts));
  const std::size_t count = CountHolders(aContract, ranked.size());
  ShareSplit split;
  split.mHolders = PickAcrossDataCentres(std::move(ranked), aHosts, count);
  for (std::size_t index = 0; index < count; ++index) {
    split.mShares[split.mHolders[index]] =
        Share{aContract.mRatePerSecond / static_cast<double>(count),
              DealUnits(aContract.mBurst, count, index),
              DealUnits(aContract.mConcurrency, count, index)};
  }
  return split;
}

PreparedConfiguration::PreparedConfiguration(
    std::shared_ptr<const Configuration> aConfiguration)
    : mConfiguration(std::move(aConfiguration)) {
  for (const auto& [customer, contract] : mConfiguration->mContracts) {
    mSplits[customer] = SplitContract(contract, mConfiguration->mHosts);
  }
}

}  // namespace papayawheel
