#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/limits/share_ledger.h"
#include "tests/fake_clock.h"
#include "tests/sample_configuration.h"

namespace papayawheel {

/** Simulates the share ledgers of several hosts, the messages between them and
 * the faults of a schedule. Compares the calls that all hosts together admit
 * with one contract. */
class LedgerFleet {
 public:
  LedgerFleet(std::size_t aHosts, const Contract& aContract);

  /** Advances the time in steps of at most 50 ms. In each step due messages are
   * delivered, due calls end, and the ledgers of running hosts are ticked. */
  void Advance(Duration aBy);

  /** A call arrives at a host. Returns whether it was admitted.
   * @param aLength duration of the call. */
  bool Call(std::size_t aHost, Duration aLength);

  /** Sends calls to a host until it refuses one. */
  void CallAll(std::size_t aHost, Duration aLength);

  /** Host aFrom requests the report of host aTo, which is made now; the answer
   * arrives after aDelay. */
  void Exchange(std::size_t aFrom, std::size_t aTo, Duration aDelay);

  /** Every host requests the report of every other host, without delay. */
  void ExchangeAll();

  /** Ends the process of a host. Its calls continue at the endpoints. */
  void Kill(std::size_t aHost) { mNodes[aHost].mLedger.reset(); }

  /** Starts a new process, which applies the latest published revision. */
  void Restart(std::size_t aHost);

  /** Suspends or resumes the process of a host. Messages for a suspended host
   * are delivered when it has resumed. */
  void SetPaused(std::size_t aHost, bool aPaused) {
    mNodes[aHost].mPaused = aPaused;
  }

  /** Cuts or restores the network between two hosts. */
  void SetCut(std::size_t aLeft, std::size_t aRight, bool aCut);

  /** Publishes a configuration with one host marked as live or leaving. */
  void PublishHostState(std::size_t aHost, NodeState aState);

  /** Publishes a configuration with another contract for the customer. */
  void PublishContract(const Contract& aContract);

  /** A host applies the latest published configuration. */
  void Learn(std::size_t aHost);

  [[nodiscard]] std::size_t Hosts() const { return mNodes.size(); }
  [[nodiscard]] std::uint64_t Admitted() const { return mAdmitted; }

  /** Describes the last violation of the contract; empty if there was none. */
  [[nodiscard]] const std::string& Violation() const { return mViolation; }

  ShareLedger* Ledger(std::size_t aHost) { return mNodes[aHost].mLedger.get(); }
  [[nodiscard]] TimePoint Now() const { return mClock.Now(); }

 private:
  struct Running {
    TimePoint mEnd;
    std::size_t mHost;
    std::uint64_t mGeneration;
    Grant mGrant;
  };

  struct Node {
    std::unique_ptr<ShareLedger> mLedger;
    bool mPaused = false;
    /** Number of processes started on this host so far. */
    std::uint64_t mGeneration = 0;
    std::uint64_t mRevision = 0;
  };

  /** A report or the refusal of a connection, in transit to the host that made
   * the request. */
  struct Message {
    TimePoint mArrives;
    std::size_t mTo;
    std::uint64_t mToGeneration;
    std::size_t mFrom;
    bool mRefused;
    LedgerReport mReport;
    TimePoint mSentAt;
  };

  void Deliver();
  void EndCalls();
  void CountAdmission();
  void Publish(Configuration aConfiguration);
  void Take(Node& aNode, const std::shared_ptr<const Configuration>& aNext);

  FakeClock mClock;
  std::vector<Node> mNodes;
  std::set<std::pair<std::size_t, std::size_t>> mCuts;
  std::vector<std::shared_ptr<const Configuration>> mPublished;
  std::deque<Message> mMessages;
  std::vector<Running> mRunning;
  /** The maximum of each limit over the contracts published so far. */
  Contract mMaxContract;
  /** Token bucket of the reference model; see CountAdmission(). */
  double mTokens;
  TimePoint mTokensAt;
  std::uint64_t mAdmitted = 0;
  std::string mViolation;
};

}  // namespace papayawheel
