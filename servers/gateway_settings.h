#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/gateway/fleet_retry_budget.h"
#include "core/gateway/probe_budget.h"
#include "core/gossip/host_load.h"
#include "drivers/answer_limits.h"

namespace papayawheel {

/** Each thread looks at its clock at least this often. */
constexpr std::chrono::milliseconds kMaxIterationInterval{400};

/** A longer gap between two turns means that the process was suspended. */
constexpr std::chrono::milliseconds kSuspensionThreshold{1200};

/** Settings of one gateway process. Addresses are IP number and port. */
struct GatewaySettings {
  std::string mName;
  std::string mDataCentre;
  /** Where callers connect. */
  std::string mFrontAddress;
  /** Where the platform asks whether the host is ready. */
  std::string mReadyAddress;
  /** Where callers ask which hosts to use. */
  std::string mDirectoryAddress;
  /** For other hosts and for operators. */
  std::string mControlAddress;
  std::uint16_t mGossipPort = 0;
  /** Addresses of other hosts; only the IP number counts. */
  std::vector<std::string> mSeeds;
  std::string mStoreAddress;
  /** The whole fleet starts for the first time. */
  bool mIsFirstStart = false;
  /** From the signal to stop to the end of the process at the latest. */
  std::chrono::milliseconds mGracePeriod{6000};
  RetryBudgetTerms mRetryBudget;
  ProbeBudgetTerms mProbeBudget;
  /** What this host can carry. */
  HostCapacity mCapacity;
  /** What an endpoint may send. */
  AnswerLimits mAnswerLimits;
  /** The longest time that a caller may keep an answer of the directory. */
  std::chrono::milliseconds mMaxDirectoryTtl{5000};
};

/** The IP number of an address. */
std::string IpOf(const std::string& aAddress);

}  // namespace papayawheel
