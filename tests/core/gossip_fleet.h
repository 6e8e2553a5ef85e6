#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/endpoints/endpoint_registry.h"
#include "core/gossip/datagram_inbox.h"
#include "core/gossip/gossip_engine.h"
#include "core/gossip/member_publication.h"
#include "core/view/view_synchronizer.h"
#include "model/event_queue.h"

namespace papayawheel {

/** How the store turns a host away. */
enum class StoreFault {
  None,
  /** Calls get no answer. */
  Silent,
  /** Calls are refused at once. A watch that waits gets no answer. */
  Refuses,
  /** Calls fail at once, and a watch that waits does so, too. */
  Resets,
};

/** What a host can use for control. */
struct HostResources {
  /** Share of a core; 0 if processing takes no time. */
  double mCores = 0;
  /** Rate of its link. */
  double mBytesPerSecond = 1e9;
};

/** Simulates the platform's store and the gossip and view synchronisation of
 * many hosts on virtual time, with faults between them. */
class GossipFleet {
 public:
  GossipFleet(std::size_t aHosts, std::size_t aDataCentres,
              std::uint32_t aSeed);

  /** Sets what each host can use. A host with a limited processor handles one
   * event at a time; datagrams wait in its socket, which holds a limited
   * number. */
  void SetResources(
      const std::function<HostResources(std::size_t)>& aResourcesOf);
  void Run(Duration aTime);
  /** Writes a key of the store and returns the revision of the change.
   * @param aBytes size of the value that is written. */
  std::uint64_t Publish(std::size_t aBytes = 8);
  /** Writes or removes one key of the store. */
  void Write(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /** Ends the watches that wait in the store, without an answer. */
  void CutWatches();
  /** Sets how long the store takes for an answer. */
  void SetStoreDelay(Duration aDelay) { mStoreDelay = aDelay; }
  /** Takes a copy of the store, which RestoreStore() brings back. */
  void CopyStore();
  /** The store comes back from its copy: what was written since is gone, and
   * its revisions are given out again. */
  void RestoreStore();
  /** Adds a number of keys with values of a size. */
  void Fill(std::size_t aKeys, std::size_t aBytes);
  /** The store discards the history of its changes, so that reads since an
   * earlier revision fail. */
  void DropHistory();
  /** Sets the bytes per second that one host can send to others; further
   * answers wait. */
  void SetBytesPerSecond(double aBytes) { mBytesPerSecond = aBytes; }
  /** Sets the load that a host reports to the others. */
  void SetLoad(std::size_t aHost, const HostLoad& aLoad);
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  void Suspend(std::size_t aHost, bool aSuspended);
  /** Cuts a host off from all others, but not from the store. */
  void CutFromHosts(std::size_t aHost, bool aCut);
  /** Cuts one data centre off from the others, or ends that. */
  void PartitionDataCentre(std::size_t aDataCentre, bool aPartitioned);
  void CutFromStore(std::size_t aHost, bool aCut);
  /** The store turns a host away from now on, or serves it again. */
  void TurnAway(std::size_t aHost, StoreFault aFault);
  /** Cuts all hosts off from the store. Pending watches get no answer. */
  void SetStoreDown(bool aDown);

  [[nodiscard]] std::size_t Size() const { return mHosts.size(); }
  [[nodiscard]] bool Knows(std::size_t aHost, std::uint64_t aRevision) const;
  /** Whether a host holds this value of a key; empty if the key is removed. */
  [[nodiscard]] bool Holds(std::size_t aHost, const std::string& aKey,
                           const std::optional<std::string>& aValue) const;
  /** Whether a host routes requests to the endpoint whose entry is at a key.
   * Keys of endpoints begin with "endpoint". */
  [[nodiscard]] bool Uses(std::size_t aHost, const std::string& aKey);
  [[nodiscard]] bool IsTrusted(std::size_t aHost) const;
  [[nodiscard]] std::size_t ReachableFrom(std::size_t aHost) const;
  [[nodiscard]] bool Reaches(std::size_t aFrom, std::size_t aTo) const;
  /** Hosts with a pending read or watch of the store. */
  [[nodiscard]] std::vector<std::size_t> Readers() const;
  [[nodiscard]] std::uint64_t StoreCalls() const { return mStoreCalls; }
  [[nodiscard]] std::uint64_t Datagrams() const { return mDatagrams; }
  /** Runs until all hosts, except some, know a revision. Returns the time that
   * took, or nothing if it took longer than the limit. */
  std::optional<Duration> TimeUntilKnown(
      std::uint64_t aRevision, Duration aLimit,
      const std::vector<std::size_t>& aExcept);
  /** Runs until all hosts that are up hold a value of a key; see Holds(). */
  std::optional<Duration> TimeUntilHeld(
      const std::string& aKey, const std::optional<std::string>& aValue,
      Duration aLimit);

 private:
  struct Host {
    std::unique_ptr<GossipEngine> mGossip;
    std::unique_ptr<ViewSynchronizer> mSynchronizer;
    EndpointRegistry mRegistry;
    bool mAlive = false;
    bool mSuspended = false;
    bool mCutFromHosts = false;
    StoreFault mStoreFault = StoreFault::None;
    HostResources mResources;
    /** Increases with each start, kill, suspension and resumption, so that
     * earlier events are ignored. */
    std::uint64_t mEpoch = 0;
    bool mCallsStore = false;
    /** Increases when the call under way is cancelled. */
    std::uint64_t mStoreEpoch = 0;
    /** Number of its latest watch of the store. */
    std::uint64_t mWatch = 0;
    TimePoint mNextIterationAt;
    /** When the last answer of the host will have left its link. */
    TimePoint mLinkBusyUntil;
    /** Numbers of the pulls under way. */
    std::set<std::uint64_t> mPulls;
    /** Events that wait for the processor. */
    std::deque<std::function<void()>> mTasks;
    std::deque<std::shared_ptr<const GossipMessage>> mSocket;
    DatagramInbox<std::shared_ptr<const GossipMessage>> mInbox{TimePoint{}};
    /** Whether the processor is busy, and whether the socket is next. */
    bool mIsBusy = false;
    bool mIsSocketNext = false;
    /** Time that the present event has taken so far. */
    Duration mSpent{0};
    /** The order of the readers as it knows them, and the generation of its
     * member list and its own version from which it was computed. */
    std::vector<std::string> mRanking;
    std::optional<std::pair<std::uint64_t, std::uint32_t>> mRankedFor;
    MemberPublication mMemberPublication;
  };
  /** A read or watch of the store that is not answered yet. */
  struct PendingRead {
    std::size_t mHost = 0;
    std::uint64_t mEpoch = 0;
    std::uint64_t mAfter = 0;
    std::uint64_t mNumber = 0;
    std::uint64_t mStoreEpoch = 0;
  };

  /** Whether a host still waits for the answer to a call. */
  [[nodiscard]] bool IsCurrent(const PendingRead& aRead) const;
  void CancelStoreCalls(std::size_t aHost);
  /** Whether messages from one running host reach another. */
  [[nodiscard]] bool IsConnected(std::size_t aFrom, std::size_t aTo) const;
  static std::string NameOf(std::size_t aHost);
  static std::string AddressOf(std::size_t aHost);
  static std::size_t IndexOf(const std::string& aAddress);
  void Start(std::size_t aHost);
  /** Replaces or removes a key and answers the watches that wait. */
  void Change(const std::string& aKey, std::optional<std::string> aValue);
  /** Runs until a condition holds for all hosts. Returns the time that took, or
   * nothing if it took longer than the limit. */
  std::optional<Duration> TimeUntilAll(
      const std::function<bool(std::size_t)>& aCondition, Duration aLimit);
  void RunIteration(std::size_t aHost);
  void Schedule(std::size_t aHost);
  void Send(std::size_t aFrom, const papayawheel::Datagrams& aDatagrams);
  /** Messages are shared, as copying them would take most of the time of a test
   * with many hosts. */
  using MessagePtr = std::shared_ptr<const GossipMessage>;
  void Deliver(std::size_t aFrom, std::size_t aTo, const MessagePtr& aText);
  void HandleMessage(std::size_t aHost, const GossipMessage& aText,
                     TimePoint aArrivedAfter);
  /** Moves the datagrams that wait in the socket to the inbox. */
  void ReadDatagrams(std::size_t aHost);
  /** Runs an event of a host, or queues it while the processor is busy. It is
   * dropped if the host is stopped before. */
  void Queue(std::size_t aHost, std::function<void()> aEvent);
  /** Handles the next event or datagram of a host with a limited processor. */
  void Work(std::size_t aHost);
  /** Adds a cost, given in time of a whole core, to the present event. */
  void Spend(std::size_t aHost, Duration aCoreTime);
  /** The time at which some bytes that a host sends now have left its link. */
  TimePoint Transmit(std::size_t aHost, std::size_t aBytes);
  const std::vector<std::string>& RankingKnownTo(std::size_t aHost);
  /** Passes changed members and loads on within the host, where hosts for
   * callers are selected by them. */
  void PublishMembers(std::size_t aHost);
  void Act(std::size_t aHost, const ViewActions& aActions);
  void CallStore(std::size_t aHost, const ViewAction& aAction);
  void Pull(std::size_t aHost, const PullView& aPull);
  void ServePull(std::size_t aPeer, std::size_t aHost, std::uint64_t aPull,
                 const PullView& aRequest);
  void EndPull(std::size_t aHost, std::uint64_t aPull,
               const std::optional<ViewTransfer>& aTransfer);
  void AnswerWatch(const PendingRead& aRead);
  void EndWatch(const PendingRead& aRead);
  void ApplyEndpoints(std::size_t aHost,
                      const std::vector<StoreChange>& aChanges);
  void ViewUpdated(std::size_t aHost, const std::vector<StoreChange>& aChanges,
                   bool aFromStore);
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
  std::vector<StoreChange> mCopiedContent;
  std::uint64_t mCopiedRevision = 1;
  std::uint64_t mEra = 1;
  double mBytesPerSecond = 1e9;
  Duration mStoreDelay{std::chrono::milliseconds(4)};
  std::vector<PendingRead> mPendingReads;
  std::uint64_t mRevision = 1;
  std::uint64_t mLastWatch = 0;
  std::uint64_t mLastPull = 0;
  bool mStoreDown = false;
  std::optional<std::size_t> mPartitionedDataCentre;
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mDatagrams = 0;
};

}  // namespace papayawheel
