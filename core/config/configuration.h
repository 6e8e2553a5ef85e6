#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayawheel {

/** Whether a host or an endpoint accepts new work (Live) or is draining
 * (Leaving). The documents use the same names. */
enum class NodeState { Live, Leaving };

/** The service level that a customer has bought. All limits, shares and
 * priorities are derived from it. */
struct Contract {
  std::string mCustomer;
  /** Maximum rate over all hosts, in calls per second. */
  double mRatePerSecond = 0;
  /** Maximum number of calls that may start at the same time after an idle
   * period, over all hosts. */
  std::uint32_t mBurst = 0;
  /** Maximum number of calls that run at the same time, over all hosts. */
  std::uint32_t mConcurrency = 0;
  /** 0 to 9. Waiting calls of a higher priority are served first. */
  std::uint32_t mPriority = 0;
  /** Names of the services that the customer may call. */
  std::vector<std::string> mServices;

  bool operator==(const Contract&) const = default;
};

/** A server process that runs the calls of one service. */
struct Endpoint {
  std::string mName;
  /** IP address and port, such as "10.0.0.7:8080". */
  std::string mAddress;
  std::string mDataCentre;
  NodeState mState = NodeState::Live;

  bool operator==(const Endpoint&) const = default;
};

/** A service that customers may call, and the endpoints that run it. */
struct Service {
  std::string mName;
  /** Number of calls that one endpoint can run at the same time. */
  std::uint32_t mSlotsPerEndpoint = 0;
  /** Maximum time from the arrival of a call to its answer. */
  std::chrono::milliseconds mLongestDeadline{0};
  /** Maximum rate, over all hosts, of calls sent to one endpoint to find out
   * whether a slot is free although its last load report showed none, in calls
   * per second. */
  double mProbesPerSecond = 0;
  std::vector<Endpoint> mEndpoints;

  bool operator==(const Service&) const = default;
};

/** A host that runs the entry program. */
struct Host {
  std::string mName;
  /** IP address and port. */
  std::string mAddress;
  std::string mDataCentre;
  NodeState mState = NodeState::Live;

  bool operator==(const Host&) const = default;
};

/** Returns the names of the hosts that accept new work, sorted. */
std::vector<std::string> LiveHosts(const std::map<std::string, Host>& aHosts);

/** All documents that the operators have published, at one revision. */
struct Configuration {
  /** Increases with every change. 0 means that no configuration is in force. */
  std::uint64_t mRevision = 0;
  /** By customer. */
  std::map<std::string, Contract> mContracts;
  std::map<std::string, Service> mServices;
  std::map<std::string, Host> mHosts;

  /** Returns the maximum of the services' longest deadlines; 0 without any. */
  [[nodiscard]] std::chrono::milliseconds LongestDeadline() const;
};

}  // namespace papayawheel
