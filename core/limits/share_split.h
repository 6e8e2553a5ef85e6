#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/config/configuration.h"

namespace papayawheel {

/** The part of one contract that one host may use by itself. */
struct Share {
  double mRatePerSecond = 0;
  std::uint32_t mBurst = 0;
  std::uint32_t mConcurrency = 0;

  bool operator==(const Share&) const = default;
};

/** The smaller of two shares in each of its three rights. */
Share ComponentwiseMin(const Share& aLeft, const Share& aRight);

/** The hosts that hold parts of one contract. */
struct ShareSplit {
  /** Names of the hosts that hold a share, best first. */
  std::vector<std::string> mHolders;
  std::map<std::string, Share> mShares;

  /** The share of one host; all zero when it holds none. */
  [[nodiscard]] Share ShareOf(const std::string& aHost) const;
};

/** Divides a contract over the live hosts. The shares add up to the contract.
 * Burst and concurrency are dealt in whole units, so a small contract sits on
 * a few hosts, in different data centres where there are any. Every host that
 * knows the same contract and hosts gets the same split. */
ShareSplit SplitContract(const Contract& aContract,
                         const std::map<std::string, Host>& aHosts);

/** A configuration with the splits of all its contracts. Working them out takes
 * long where there are many, so it is done before the ledger is locked. */
struct PreparedConfiguration {
  // Conversion is wanted: whoever need not prepare passes the configuration.
  PreparedConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  std::shared_ptr<const Configuration> mConfiguration;
  /** By customer. */
  std::map<std::string, ShareSplit> mSplits;
};

}  // namespace papayawheel
