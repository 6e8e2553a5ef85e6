#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/crash_ledger.h"
#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Discovers the other hosts of the fleet from a few seeds and detects which of
 * them are reachable.
 *
 * Each host pings a fixed number of others in each period, whatever the size of
 * the fleet. A host that leaves two pings in a row unanswered is considered
 * unreachable and reported to some others as unresponsive. They then ping it
 * themselves: no host considers another one unreachable on a report alone.
 *
 * The engine takes events, each with the time, and returns the datagrams to
 * send; it performs no input or output. */
class GossipEngine {
 public:
  GossipEngine(MemberRecord aSelf, std::uint32_t aSeed);

  /** Sets the gossip addresses for discovery. Seeds that are not reachable are
   * pinged again regularly. */
  void SetSeeds(std::vector<std::string> aSeeds);

  void SetState(MemberState aState);
  void SetStoreFailing(bool aFailing);
  /** Sets which services this host has lost or reaches, and broadcasts it as
   * Announce() does. */
  Datagrams SetReach(const ServiceReach& aReach);
  /** Sets the function that returns the view summary for a message that is
   * sent now. Its age must not be older than the message. */
  void SetViewSource(std::function<ViewSummary()> aSource) {
    mViewSource = std::move(aSource);
  }
  /** Sets this host's load, which is sent with each message. A large change is
   * sent at once to the hosts of the data centre, because they use it to select
   * the hosts for callers. */
  Datagrams SetLoad(const HostLoad& aLoad, TimePoint aNow);

  /** Performs what is due: pings, time-outs and the expiry of members. */
  Datagrams Tick(TimePoint aNow);
  [[nodiscard]] TimePoint NextDue() const;

  Datagrams MessageArrived(const GossipMessage& aMessage, TimePoint aNow);

  /** Broadcasts this host's record and pending updates at once: to all hosts of
   * a small fleet, otherwise to its data centre and to a few hosts of each
   * other one. */
  Datagrams Announce();
  /** Broadcasts crash records of this host to the same hosts as Announce().
   * Pings and their acks also compare digests of the records that every host
   * must have; on a difference, hosts send each other their records. */
  Datagrams BroadcastCrashes(const std::vector<CrashRecord>& aCrashes,
                             TimePoint aNow);
  /** Returns the new crash records from other hosts since the last call. */
  std::vector<CrashRecord> TakeReceivedCrashes();
  /** Broadcasts that this host's view of the store has changed: to all hosts of
   * a small fleet, otherwise to a few, which fetch the change and broadcast it
   * in turn.
   * @param aRemote whether to include other data centres, which may not have
   * the change yet. */
  Datagrams BroadcastView(bool aRemote);

  /** Sends the view summary to all hosts of a small fleet, otherwise to one
   * host of each data centre, which passes it on. That is one of those with the
   * most processor. */
  Datagrams BroadcastConfirmation();
  /** Sends the view summary to all hosts of this data centre. */
  Datagrams PassViewOn();

  /** Pings some random hosts at once, in the data centre if possible, to get
   * their view summaries. Hosts with an unanswered ping are skipped. */
  Datagrams PingSome(std::size_t aCount, TimePoint aNow);

  /** Pings the given hosts at once, to get their view summaries. Unknown hosts
   * and those with an unanswered ping are skipped. */
  Datagrams PingMembers(const std::vector<std::string>& aNames, TimePoint aNow);

  /** Resets pending pings after a suspension of the process, since their
   * answers may have been missed, and requests member lists again.
   * @param aPingFirst hosts that are likely to know what this one missed. */
  Datagrams ResumeAfterSuspension(const std::vector<std::string>& aPingFirst,
                                  TimePoint aNow);

  /** Records of the reachable hosts, without this one. */
  [[nodiscard]] std::vector<MemberRecord> Reachable() const;
  /** The record of another host; nothing if the host is unknown. */
  [[nodiscard]] std::optional<MemberRecord> Find(
      const std::string& aName) const;
  /** Names of the known hosts, reachable or not, including this one. */
  [[nodiscard]] std::vector<std::string> KnownNames() const;
  /** Number of known hosts, reachable or not, including this one. */
  [[nodiscard]] std::size_t MemberCount() const { return mMembers.size() + 1; }
  [[nodiscard]] const MemberRecord& Self() const { return mSelf; }
  /** Whether the fleet is so large that broadcasts go through relays. */
  [[nodiscard]] bool UsesRelays() const;

  /** Increases whenever Reachable(), other than its loads, or KnownNames() may
   * have changed. */
  [[nodiscard]] std::uint64_t Generation() const { return mGeneration; }
  /** Increases whenever the load of a host has changed significantly. */
  [[nodiscard]] std::uint64_t LoadGeneration() const { return mLoadGeneration; }

 private:
  struct Member {
    MemberRecord mRecord;
    bool mReachable = false;
    /** Whether it has ever been reachable. */
    bool mWasReachable = false;
    TimePoint mHeardAt;
    /** When the ping that is still unanswered was sent. */
    std::optional<TimePoint> mPingedAt;
    std::uint32_t mUnanswered = 0;
    /** The version of this host's record that it has acknowledged. */
    std::optional<std::uint32_t> mAckedVersion;
    /** The version of this host's record that was last sent to it in full. */
    std::uint32_t mSentVersion = 0;
  };

  /** Creates a message with this host's state and some pending updates. */
  [[nodiscard]] GossipMessage Compose(GossipMessage::Kind aKind);
  /** Sends a message to a known host, with a brief sender record if the host is
   * known to have the current one. */
  void SendTo(Member& aMember, GossipMessage aMessage, Datagrams& aDatagrams);
  /** Updates the member that sent a message. Returns false if the record is
   * brief and unknown here, so that the message must be ignored. */
  bool ApplySender(const GossipMessage& aMessage, TimePoint aNow);
  void Ping(Member& aMember, TimePoint aNow, Datagrams& aDatagrams);
  void PingSeeds(TimePoint aNow, Datagrams& aDatagrams);
  [[nodiscard]] bool IsIsolated() const;
  /** Starts a series of member list requests, because this host may have missed
   * that others started or stopped. */
  void StartMemberListRequests(TimePoint aNow);
  /** Requests the member list of a random reachable host, if possible in the
   * data centre. */
  void RequestMemberList(TimePoint aNow, Datagrams& aDatagrams);
  /** Whether the sender was unreachable together with its whole data centre, as
   * at the end of a network partition. */
  [[nodiscard]] bool EndsPartition(const MemberRecord& aSender) const;
  void PingLocalAndRemote(TimePoint aNow, Datagrams& aDatagrams);
  /** Pings the next hosts of one of the two orders, and starts the order again
   * in a new random sequence once it is used up. */
  void PingNext(bool aLocal, std::size_t aCount, TimePoint aNow,
                Datagrams& aDatagrams);
  /** Repeats pings that timed out or gives them up. */
  void CheckPings(TimePoint aNow, Datagrams& aDatagrams);
  /** Updates a member by a record that another host has passed on. */
  void ApplyRecord(const MemberRecord& aRecord, TimePoint aNow,
                   Datagrams& aDatagrams);
  /** Sends a message to the hosts that Announce() describes. */
  [[nodiscard]] Datagrams Broadcast(const GossipMessage& aMessage);
  void ApplyCrashes(const GossipMessage& aMessage, TimePoint aNow);
  /** Sends a host all crash records that every host must have. */
  void SendCrashes(Member& aMember, TimePoint aNow, Datagrams& aDatagrams);
  void SendMemberList(const std::string& aAddress, Datagrams& aDatagrams);
  /** Removes members that have been unreachable for long. */
  void ExpireMembers(TimePoint aNow);
  void NoteMembershipChange();

  MemberRecord mSelf;
  std::minstd_rand mRandom;
  std::vector<std::string> mSeeds;
  std::function<ViewSummary()> mViewSource = [] { return ViewSummary{}; };
  /** The load that was last sent at once, and when. */
  HostLoad mBroadcastLoad;
  TimePoint mLoadBroadcastAt;
  std::map<std::string, Member> mMembers;
  /** Names of the hosts still to be pinged in this pass, last one first, in the
   * data centre and elsewhere. */
  std::vector<std::string> mLocalPingOrder;
  std::vector<std::string> mRemotePingOrder;
  /** Names of hosts whose records are passed on, and the number of messages
   * that will still contain them. */
  std::map<std::string, std::uint32_t> mPendingUpdates;
  TimePoint mNextPeriod;
  TimePoint mNextSeeds;
  /** No ping times out before this. */
  TimePoint mNextPingCheck = TimePoint::max();
  /** When the next member list is requested, and how many of the current series
   * were. */
  TimePoint mNextMemberListRequest = TimePoint::max();
  std::size_t mMemberListRequests = 0;
  /** No member list is requested at the end of a partition before this. */
  TimePoint mNextPartitionRequest;
  CrashLedger mCrashes;
  /** Digest of mCrashes at the last event. */
  std::uint64_t mCrashDigest = 0;
  std::vector<CrashRecord> mReceivedCrashes;
  std::uint64_t mGeneration = 0;
  std::uint64_t mLoadGeneration = 0;
};

}  // namespace papayawheel
