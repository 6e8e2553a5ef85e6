#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/config/configuration.h"

namespace papayawheel {

/** The part of a contract that one host may use by itself. */
struct Share {
  double mRatePerSecond = 0;
  std::uint32_t mBurst = 0;
  std::uint32_t mConcurrency = 0;

  bool operator==(const Share&) const = default;
};

/** Returns the smaller of the two rates, bursts and concurrencies. */
Share ComponentwiseMin(const Share& aLeft, const Share& aRight);

/** The division of a contract among hosts. */
struct ShareSplit {
  /** Names of the share holders: the best-ranked host of each data centre, then
   * the second-best of each, and so on. */
  std::vector<std::string> mHolders;
  /** By host. */
  std::map<std::string, Share> mShares;

  /** Returns the share of a host; all zero if it holds none. */
  [[nodiscard]] Share ShareOf(const std::string& aHost) const;
};

/** Divides a contract among the live hosts. The shares add up to the contract.
 * Burst and concurrency are divided in whole units, so a small contract has
 * only a few share holders, in different data centres where possible. Hosts
 * that know the same contract and the same hosts compute the same split. */
ShareSplit SplitContract(const Contract& aContract,
                         const std::map<std::string, Host>& aHosts);

/** A configuration with the splits of all its contracts. They take long to
 * compute if there are many, so this is done before the ledger is locked. */
struct PreparedConfiguration {
  // Implicit, so that callers that need not prepare can pass a configuration.
  PreparedConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  std::shared_ptr<const Configuration> mConfiguration;
  /** By customer. */
  std::map<std::string, ShareSplit> mSplits;
};

}  // namespace papayawheel
