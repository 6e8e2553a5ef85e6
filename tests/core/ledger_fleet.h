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

/** Several ledgers, the messages between them and the faults of a schedule.
 * Counts what all hosts together admit against one contract. */
class LedgerFleet {
 public:
  LedgerFleet(std::size_t aHosts, const Contract& aContract);

  void Advance(Duration aBy);

  /** One call arrives at a host. Returns whether it was admitted. */
  bool Call(std::size_t aHost, Duration aLength);

  /** As many calls as a host admits, at once. */
  void CallAll(std::size_t aHost, Duration aLength);

  /** One host asks another; the answer arrives after a delay. */
  void Exchange(std::size_t aFrom, std::size_t aTo, Duration aDelay);

  /** Every host asks every other, without delay. */
  void ExchangeAll();

  /** The process ends; its calls may run on at the endpoints. */
  void Kill(std::size_t aHost) { mNodes[aHost].mLedger.reset(); }

  /** A new process takes the highest revision that it can learn of. */
  void Restart(std::size_t aHost);

  void SetPaused(std::size_t aHost, bool aPaused) {
    mNodes[aHost].mPaused = aPaused;
  }

  void SetCut(std::size_t aLeft, std::size_t aRight, bool aCut);

  /** Operators publish the fleet with one host marked live or leaving. */
  void PublishHostState(std::size_t aHost, NodeState aState);

  /** Operators publish another contract. */
  void PublishContract(const Contract& aContract);

  /** A host takes the latest published configuration. */
  void Learn(std::size_t aHost);

  [[nodiscard]] std::size_t Hosts() const { return mNodes.size(); }
  [[nodiscard]] std::uint64_t Admitted() const { return mAdmitted; }

  /** Why the contract was broken; empty if it was not. */
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
    /** Counts the processes that ran on this host. */
    std::uint64_t mGeneration = 0;
    std::uint64_t mRevision = 0;
  };

  /** An answer, or a refused connection, on its way. */
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
  /** The most that any contract published so far allows. */
  Contract mMaxContract;
  double mTokens;
  TimePoint mTokensAt;
  std::uint64_t mAdmitted = 0;
  std::string mViolation;
};

}  // namespace papayawheel
