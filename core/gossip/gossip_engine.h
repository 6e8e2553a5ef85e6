#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/crash_ledger.h"
#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Finds the other hosts of the fleet from a few seeds and notices which of
 * them can be reached.
 *
 * Each host pings a few others in each period, whatever the size of the fleet.
 * A host that does not answer twice is taken as unreachable and doubted aloud,
 * so that the others look for themselves; nobody is believed dead on hearsay.
 * It takes events, each with the time, and returns datagrams; it performs no
 * input or output. */
class GossipEngine {
 public:
  GossipEngine(MemberRecord aSelf, std::uint32_t aSeed);

  /** Gossip addresses to start from and to come back to. */
  void SetSeeds(std::vector<std::string> aSeeds);

  void SetState(MemberState aState);
  void SetStoreFailing(bool aFailing);
  /** What is told with each message. */
  void SetView(const ViewSummary& aView) { mView = aView; }
  /** What callers make this host carry, told with each message. If it has
   * changed much, the hosts of the data centre are told at once: they say where
   * callers go. */
  Datagrams SetLoad(const HostLoad& aLoad, TimePoint aNow);

  /** Does what is due. */
  Datagrams Tick(TimePoint aNow);
  [[nodiscard]] TimePoint NextDue() const;

  Datagrams MessageArrived(const GossipMessage& aMessage, TimePoint aNow);

  /** Tells the fleet at once what this host says and knows: everyone while the
   * fleet is small, else its data centre and a few hosts of each other. */
  Datagrams Announce();
  /** Tells the same hosts what was seen here of requests that may crash
   * endpoints. What every host must know of them is also compared with each
   * host that is pinged, and sent to those that lack it. */
  Datagrams BroadcastCrashes(const std::vector<CrashRecord>& aCrashes,
                             TimePoint aNow);
  /** What other hosts told of such requests since the last call. */
  std::vector<CrashRecord> TakeReceivedCrashes();
  /** Tells of what changed in this host's copy of the store: everyone while
   * the fleet is small, else a few, who fetch it and tell others in turn.
   * @param aRemote whether other data centres may not know of it yet. */
  Datagrams BroadcastView(bool aRemote);

  /** Asks hosts at once what they know. */
  Datagrams PingMembers(const std::vector<std::string>& aNames, TimePoint aNow);

  /** The process was suspended: what it believes of others is void.
   * @param aPingFirst hosts that know best what it has missed. */
  Datagrams ResumeAfterSuspension(const std::vector<std::string>& aPingFirst,
                                  TimePoint aNow);

  /** Hosts that can be reached, without this one. */
  [[nodiscard]] std::vector<MemberRecord> Reachable() const;
  /** What a known host says of itself. */
  [[nodiscard]] std::optional<MemberRecord> Find(
      const std::string& aName) const;
  /** Hosts that are known, reachable or not, with this one. */
  [[nodiscard]] std::size_t MemberCount() const { return mMembers.size() + 1; }
  [[nodiscard]] const MemberRecord& Self() const { return mSelf; }
  /** Whether the fleet is so large that news is passed on in two steps. */
  [[nodiscard]] bool UsesRelays() const;

  /** Grows whenever Reachable() may have changed, but for the use. */
  [[nodiscard]] std::uint64_t Generation() const { return mGeneration; }
  /** Grows whenever the use of a host has changed much. */
  [[nodiscard]] std::uint64_t LoadGeneration() const { return mLoadGeneration; }

 private:
  struct Member {
    MemberRecord mRecord;
    bool mReachable = false;
    /** It was reachable at some time. */
    bool mWasReachable = false;
    TimePoint mHeardAt;
    /** When the ping that is not answered yet was sent. */
    std::optional<TimePoint> mPingedAt;
    std::uint32_t mUnanswered = 0;
    /** The version of this host's record that it is known to have. */
    std::optional<std::uint32_t> mAckedVersion;
    /** The version that was last sent to it in full. */
    std::uint32_t mSentVersion = 0;
  };

  [[nodiscard]] GossipMessage Compose(GossipMessage::Kind aKind);
  /** Sends a message to a known host, brief if it knows this one. */
  void SendTo(Member& aMember, GossipMessage aMessage, Datagrams& aDatagrams);
  /** Takes a message's sender over; false if it must introduce itself. */
  bool ApplySender(const GossipMessage& aMessage, TimePoint aNow);
  void Ping(Member& aMember, TimePoint aNow, Datagrams& aDatagrams);
  void PingSeeds(TimePoint aNow, Datagrams& aDatagrams);
  [[nodiscard]] bool IsIsolated() const;
  /** Others came or went without this host's notice; it asks a few for them. */
  void StartMemberListRequests(TimePoint aNow);
  /** Asks one host of the data centre, else any. */
  void RequestMemberList(TimePoint aNow, Datagrams& aDatagrams);
  /** Whether a message comes from a host that was lost together with its whole
   * data centre, as when a network partition ends. */
  [[nodiscard]] bool EndsPartition(const MemberRecord& aSender) const;
  void PingLocalAndRemote(TimePoint aNow, Datagrams& aDatagrams);
  void PingNext(bool aLocal, std::size_t aCount, TimePoint aNow,
                Datagrams& aDatagrams);
  void CheckPings(TimePoint aNow, Datagrams& aDatagrams);
  void ApplyRecord(const MemberRecord& aRecord, TimePoint aNow,
                   Datagrams& aDatagrams);
  [[nodiscard]] Datagrams Broadcast(const GossipMessage& aMessage);
  void ApplyCrashes(const GossipMessage& aMessage, TimePoint aNow);
  /** Tells a host all that it must know of requests that crash endpoints. */
  void SendCrashes(Member& aMember, TimePoint aNow, Datagrams& aDatagrams);
  void SendMemberList(const std::string& aAddress, Datagrams& aDatagrams);
  void ExpireMembers(TimePoint aNow);
  void NoteMembershipChange();

  MemberRecord mSelf;
  std::minstd_rand mRandom;
  std::vector<std::string> mSeeds;
  ViewSummary mView;
  /** What was last told at once, and when. */
  HostLoad mBroadcastLoad;
  TimePoint mLoadBroadcastAt;
  std::map<std::string, Member> mMembers;
  /** Names in the order in which they are pinged, in the data centre and
   * elsewhere. */
  std::vector<std::string> mLocalPingOrder;
  std::vector<std::string> mRemotePingOrder;
  /** Records that are passed on, and how often still. */
  std::map<std::string, std::uint32_t> mPendingUpdates;
  TimePoint mNextPeriod;
  TimePoint mNextSeeds;
  /** No ping is due to be given up before. */
  TimePoint mNextPingCheck = TimePoint::max();
  /** When the next roster is asked for, and how many were. */
  TimePoint mNextMemberListRequest = TimePoint::max();
  std::size_t mMemberListRequests = 0;
  /** No regained host is asked for its roster before. */
  TimePoint mNextPartitionRequest;
  CrashLedger mCrashes;
  /** Of mCrashes when the last event came. */
  std::uint64_t mCrashDigest = 0;
  std::vector<CrashRecord> mReceivedCrashes;
  std::uint64_t mGeneration = 0;
  std::uint64_t mLoadGeneration = 0;
};

}  // namespace papayawheel
