#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayawheel {

/** Whether a host or an endpoint takes new work. */
enum class NodeState { Live, Leaving };

/** What one customer has bought. Every limit, share and priority follows from
 * it. */
struct Contract {
  std::string mCustomer;
  /** Calls per second over all hosts. */
  double mRatePerSecond = 0;
  /** Calls that may start at once after a silence, over all hosts. */
  std::uint32_t mBurst = 0;
  /** Calls that may run at the same time, over all hosts. */
  std::uint32_t mConcurrency = 0;
  /** 0 to 9; a waiting call of a higher priority is served first. */
  std::uint32_t mPriority = 0;
  /** Names of the services that the customer may call. */
  std::vector<std::string> mServices;

  bool operator==(const Contract&) const = default;
};

/** A server that runs calls of one service. */
struct Endpoint {
  std::string mName;
  /** IP number and port, as in "10.0.0.7:8080". */
  std::string mAddress;
  std::string mDataCentre;
  NodeState mState = NodeState::Live;

  bool operator==(const Endpoint&) const = default;
};

struct Service {
  std::string mName;
  /** Calls that one endpoint runs at the same time. */
  std::uint32_t mSlotsPerEndpoint = 0;
  /** The longest time that one call may take, from arrival to answer. */
  std::chrono::milliseconds mLongestDeadline{0};
  /** Calls per second that all hosts together may send to one endpoint to see
   * whether a slot has come free, though its last report left none. */
  double mProbesPerSecond = 0;
  std::vector<Endpoint> mEndpoints;

  bool operator==(const Service&) const = default;
};

/** A host that runs the entry program. */
struct Host {
  std::string mName;
  /** IP number and port. */
  std::string mAddress;
  std::string mDataCentre;
  NodeState mState = NodeState::Live;

  bool operator==(const Host&) const = default;
};

/** Names of the hosts that take new work, in order. */
std::vector<std::string> LiveHosts(const std::map<std::string, Host>& aHosts);

/** Everything that the operators have published, at one revision. */
struct Configuration {
  /** Strictly rises with every change. 0 means that nothing is in force. */
  std::uint64_t mRevision = 0;
  std::map<std::string, Contract> mContracts;
  std::map<std::string, Service> mServices;
  std::map<std::string, Host> mHosts;

  /** The longest deadline of any service. */
  [[nodiscard]] std::chrono::milliseconds LongestDeadline() const;
};

}  // namespace papayawheel
