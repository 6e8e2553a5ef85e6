#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoints/warm_up_share.h"
#include "core/gateway/fleet_retry_budget.h"
#include "core/gateway/probe_budget.h"
#include "core/gossip/host_load.h"
#include "core/limits/caller_limits.h"
#include "drivers/answer_limits.h"

namespace papayawheel {

/** Maximum time between two iterations of a thread's event loop. */
constexpr std::chrono::milliseconds kMaxIterationInterval{400};

/** The control thread reads its socket for datagrams at least at this interval.
 * Datagrams count as having arrived when the socket was last found empty, so
 * this bounds by how much a view is taken for older than it is. */
constexpr std::chrono::milliseconds kMaxReadInterval{100};

/** A longer gap between two iterations means that the process was suspended. */
constexpr std::chrono::milliseconds kSuspensionThreshold{1200};

/** Settings of a gateway process. Addresses consist of IP number and port. */
struct GatewaySettings {
  std::string mName;
  std::string mDataCentre;
  /** Address for callers' requests. */
  std::string mFrontAddress;
  /** Address for the platform's readiness checks. */
  std::string mReadyAddress;
  /** Address at which callers look up the hosts to use. */
  std::string mDirectoryAddress;
  /** Address for other hosts and operators. */
  std::string mControlAddress;
  std::uint16_t mGossipPort = 0;
  /** Addresses of other hosts, used to join the fleet. Ports are ignored. */
  std::vector<std::string> mSeeds;
  std::string mStoreAddress;
  /** Whether the whole fleet starts for the first time. */
  bool mIsFirstStart = false;
  /** Maximum time from the stop signal to the end of the process. */
  std::chrono::milliseconds mGracePeriod{6000};
  RetryBudgetTerms mRetryBudget;
  /** Hedges for each hundred requests of a service; nothing for no limit but
   * the retry budget. */
  std::optional<double> mHedgeLimit;
  ProbeBudgetTerms mProbeBudget;
  WarmUpTerms mWarmUpTerms;
  HostCapacity mCapacity;
  /** Size limits of endpoints' answers. */
  AnswerLimits mAnswerLimits;
  CallerLimits mCallerLimits;
  /** Maximum time for which callers may cache an answer of the directory. */
  std::chrono::milliseconds mMaxDirectoryTtl{5000};
};

/** Returns the IP number of an address. */
std::string IpOf(const std::string& aAddress);

}  // namespace papayawheel
