#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/gossip/gossip_engine.h"
#include "core/view/view_synchronizer.h"
#include "model/event_queue.h"

namespace papayawheel {

/** The store and the control parts of many hosts on virtual time, with faults
 * between them. */
class GossipFleet {
 public:
  GossipFleet(std::size_t aHosts, std::size_t aDataCentres,
              std::uint32_t aSeed);

  void Run(Duration aTime);
  /** Changes the store; the revision of the change.
   * @param aBytes size of the value that is written. */
  std::uint64_t Publish(std::size_t aBytes = 8);
  /** Writes that many keys more. */
  void Fill(std::size_t aKeys, std::size_t aBytes);
  /** The store forgets what led to its present content. */
  void DropHistory();
  /** What one host can send to others in a second; the rest waits. */
  void SetBytesPerSecond(double aBytes) { mBytesPerSecond = aBytes; }
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  void Suspend(std::size_t aHost, bool aSuspended);
  /** Cuts a host off from all others, but not from the store. */
  void CutFromHosts(std::size_t aHost, bool aCut);
  /** Parts one data centre from the others. */
  void PartitionDataCentre(std::size_t aDataCentre, bool aPartitioned);
  void CutFromStore(std::size_t aHost, bool aCut);
  /** Every host is cut off from the store, and the watches that wait hang. */
  void SetStoreDown(bool aDown);

  [[nodiscard]] std::size_t Size() const { return mHosts.size(); }
  [[nodiscard]] bool Knows(std::size_t aHost, std::uint64_t aRevision) const;
  [[nodiscard]] bool IsTrusted(std::size_t aHost) const;
  [[nodiscard]] std::size_t ReachableFrom(std::size_t aHost) const;
  [[nodiscard]] bool Reaches(std::size_t aFrom, std::size_t aTo) const;
  /** Hosts that read the store or wait for it now. */
  [[nodiscard]] std::vector<std::size_t> Readers() const;
  [[nodiscard]] std::uint64_t StoreCalls() const { return mStoreCalls; }
  [[nodiscard]] std::uint64_t Datagrams() const { return mDatagrams; }
  /** Time until all hosts but some know a revision; nothing if they do not
   * within a limit. */
  std::optional<Duration> TimeUntilKnown(
      std::uint64_t aRevision, Duration aLimit,
      const std::vector<std::size_t>& aExcept);

 private:
  struct Host {
    std::unique_ptr<GossipEngine> mGossip;
    std::unique_ptr<ViewSynchronizer> mSynchronizer;
    bool mAlive = false;
    bool mSuspended = false;
    bool mCutFromHosts = false;
    bool mCutFromStore = false;
    /** Grows with each start and each wake, so that old events find nothing. */
    std::uint64_t mEpoch = 0;
    bool mCallsStore = false;
    /** The watch that it waits for, if it waits for one. */
    std::uint64_t mWatch = 0;
    TimePoint mNextIterationAt;
    /** Until when the answers that it has begun keep its link busy. */
    TimePoint mLinkBusyUntil;
  };
  struct PendingRead {
    std::size_t mHost = 0;
    std::uint64_t mEpoch = 0;
    std::uint64_t mAfter = 0;
    std::uint64_t mNumber = 0;
  };

  /** Whether what one running host sends reaches another. */
  [[nodiscard]] bool IsConnected(std::size_t aFrom, std::size_t aTo) const;
  static std::string NameOf(std::size_t aHost);
  static std::string AddressOf(std::size_t aHost);
  static std::size_t IndexOf(const std::string& aAddress);
  void Start(std::size_t aHost);
  void RunIteration(std::size_t aHost);
  void Schedule(std::size_t aHost);
  void Send(std::size_t aFrom, const papayawheel::Datagrams& aDatagrams);
  void Deliver(std::size_t aFrom, std::size_t aTo, const GossipMessage& aText);
  void Act(std::size_t aHost, const ViewActions& aActions);
  void CallStore(std::size_t aHost, const ViewAction& aAction);
  void Pull(std::size_t aHost, const PullView& aPull);
  void PullFailed(std::size_t aHost, std::uint64_t aEpoch);
  void AnswerWatch(const PendingRead& aRead);
  void EndWatch(const PendingRead& aRead);
  void ViewUpdated(std::size_t aHost, bool aChanged, bool aFromStore);
  [[nodiscard]] bool IsUp(std::size_t aHost, std::uint64_t aEpoch) const;
  void StoreFailed(const PendingRead& aRead, StoreFailure aFailure);
  [[nodiscard]] StoreDelta StoreSince(std::uint64_t aRevision) const;

  model::EventQueue mEvents;
  std::mt19937 mRandom;
  std::size_t mDataCentres;
  std::vector<Host> mHosts;
  /** The keys in the order of their last writes. */
  std::vector<StoreChange> mContent;
  std::uint64_t mHistoryFrom = 0;
  double mBytesPerSecond = 1e9;
  std::vector<PendingRead> mPendingReads;
  std::uint64_t mRevision = 1;
  std::uint64_t mLastWatch = 0;
  bool mStoreDown = false;
  std::optional<std::size_t> mPartitionedDataCentre;
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mDatagrams = 0;
};

}  // namespace papayawheel
