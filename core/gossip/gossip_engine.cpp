#include "core/gossip/gossip_engine.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPingPeriod{500};
/** Hosts pinged in each period, in this data centre and in others. */
constexpr std::size_t kLocalPings = 2;
constexpr std::size_t kRemotePings = 1;
/** A ping that is unanswered for this long is repeated, and after
 * kMaxUnanswered such pings the host is unreachable. */
constexpr milliseconds kPingTimeout{250};
constexpr std::uint32_t kMaxUnanswered = 2;

/** Periods of the pings to unreachable seeds, while no other host is reachable
 * and otherwise. */
constexpr milliseconds kSeedPeriodIsolated{300};
constexpr milliseconds kSeedPeriod{2000};

/** Delays between the member list requests of a host that has just joined.
 * There are several because, when a whole fleet starts, the first hosts asked
 * do not know all others yet. */
constexpr std::array<milliseconds, 4> kMemberListRequestDelays{
    milliseconds(300), milliseconds(700), milliseconds(1500),
    milliseconds(2500)};

/** Hosts on the other side of a network partition may have discovered others in
 * the meantime. So when the first host of an unreachable data centre is
 * reachable again, its member list is requested. The interval limits how often,
 * because a member list is as long as the fleet. */
constexpr seconds kPartitionRequestInterval{30};

/** Number of messages in which one host passes on an updated record. */
constexpr std::uint32_t kMaxRecordTransmissions = 6;
/** Number of hosts that are notified of unresponsive hosts. */
constexpr std::size_t kUnresponsiveFanOut = 8;

/** A host that was heard from within this time is not pinged when another host
 * reports it as unresponsive. */
constexpr milliseconds kRecentlyHeard{300};

/** A host that was unreachable for this long is removed. */
constexpr seconds kUnreachableExpiry{60};

/** The load is sent to the data centre at once if it differs by more than this
 * part from the one last sent at once, and kMinLoadBroadcastInterval has passed
 * since then. A last load below one of the low values counts as that value, so
 * that changes at low load are ignored. */
constexpr double kMinRelativeChange = 0.3;
constexpr double kLowRequestsPerSecond = 10;
constexpr double kLowBytesPerSecond = 50e3;
constexpr milliseconds kMinLoadBroadcastInterval{900};

bool HasChangedSignificantly(double aBefore, double aNow, double aLow) {
  const double threshold = std::max(aBefore, aLow) * kMinRelativeChange;
  return std::abs(aNow - aBefore) > threshold;
}

bool HasChangedSignificantly(const HostLoad& aBefore, const HostLoad& aNow) {
  return HasChangedSignificantly(aBefore.mRequests, aNow.mRequests,
                                 kLowRequestsPerSecond) ||
         HasChangedSignificantly(aBefore.mLinkBytes, aNow.mLinkBytes,
                                 kLowBytesPerSecond);
}

bool IsNewer(const MemberRecord& aLeft, const MemberRecord& aRight) {
  return std::tie(aLeft.mIncarnation, aLeft.mVersion) >
         std::tie(aRight.mIncarnation, aRight.mVersion);
}

}  // namespace

GossipEngine::GossipEngine(MemberRecord aSelf, std::uint32_t aSeed)
    : mSelf(std::move(aSelf)), mRandom(aSeed) {}

void GossipEngine::SetSeeds(std::vector<std::string> aSeeds) {
  std::erase(aSeeds, mSelf.mGossipAddress);
  mSeeds = std::move(aSeeds);
}

void GossipEngine::SetState(MemberState aState) {
  if (mSelf.mState != aState) {
    mSelf.mState = aState;
    ++mSelf.mVersion;
  }
}

void GossipEngine::SetStoreFailing(bool aFailing) {
  if (mSelf.mStoreFailing != aFailing) {
    mSelf.mStoreFailing = aFailing;
    ++mSelf.mVersion;
  }
}

Datagrams GossipEngine::SetReach(const ServiceReach& aReach) {
  if (mSelf.mReach == aReach) {
    return {};
  }
  mSelf.mReach = aReach;
  ++mSelf.mVersion;
  return Announce();
}

Datagrams GossipEngine::SetLoad(const HostLoad& aLoad, TimePoint aNow) {
  mSelf.mLoad = aLoad;
  Datagrams datagrams;
  if (!HasChangedSignificantly(mBroadcastLoad, aLoad) ||
      aNow - mLoadBroadcastAt < kMinLoadBroadcastInterval) {
    return datagrams;
  }
  mBroadcastLoad = aLoad;
  mLoadBroadcastAt = aNow;
  const GossipMessage message = Compose(GossipMessage::Kind::Notice);
  for (const auto& [name, member] : mMembers) {
    if (member.mReachable && member.mRecord.mDataCentre == mSelf.mDataCentre) {
      datagrams.push_back(Datagram{member.mRecord.mGossipAddress, message});
    }
  }
  return datagrams;
}

Datagrams GossipEngine::Tick(TimePoint aNow) {
  Datagrams datagrams;
  mCrashDigest = mCrashes.Digest(aNow);
  CheckPings(aNow, datagrams);
  if (aNow >= mNextSeeds) {
    PingSeeds(aNow, datagrams);
  }
  if (aNow >= mNextMemberListRequest) {
    RequestMemberList(aNow, datagrams);
  }
  if (aNow >= mNextPeriod) {
    mNextPeriod = aNow + kPingPeriod;
    PingLocalAndRemote(aNow, datagrams);
    ExpireMembers(aNow);
    mCrashes.RemoveExpired(aNow);
  }
  return datagrams;
}

TimePoint GossipEngine::NextDue() const {
  return std::min(
      {mNextPeriod, mNextSeeds, mNextMemberListRequest, mNextPingCheck});
}

void GossipEngine::PingSeeds(TimePoint aNow, Datagrams& aDatagrams) {
  const bool isolated = IsIsolated();
  mNextSeeds = aNow + (isolated ? kSeedPeriodIsolated : kSeedPeriod);
  if (isolated) {
    // Once a host is reachable, the full series of requests is due again.
    StartMemberListRequests(aNow);
  }
  for (const std::string& seed : mSeeds) {
    const auto found = std::find_if(
        mMembers.begin(), mMembers.end(), [&seed](const auto& aEntry) {
          return aEntry.second.mRecord.mGossipAddress == seed;
        });
    if (found != mMembers.end() && found->second.mReachable) {
      continue;
    }
    GossipMessage ping = Compose(GossipMessage::Kind::Ping);
    ping.mWantsMemberList = found == mMembers.end();
    aDatagrams.push_back(Datagram{seed, std::move(ping)});
  }
}

bool GossipEngine::IsIsolated() const {
  return std::none_of(mMembers.begin(), mMembers.end(), [](const auto& aEntry) {
    return aEntry.second.mReachable;
  });
}

void GossipEngine::StartMemberListRequests(TimePoint aNow) {
  mMemberListRequests = 0;
  mNextMemberListRequest = aNow + kMemberListRequestDelays.front();
}

void GossipEngine::RequestMemberList(TimePoint aNow, Datagrams& aDatagrams) {
  std::vector<Member*> near;
  std::vector<Member*> all;
  for (auto& [name, member] : mMembers) {
    if (!member.mReachable) {
      continue;
    }
    all.push_back(&member);
    if (member.mRecord.mDataCentre == mSelf.mDataCentre) {
      near.push_back(&member);
    }
  }
  if (all.empty()) {
    // PingSeeds() starts a new series while no host is reachable.
    mNextMemberListRequest = TimePoint::max();
    return;
  }
  const std::vector<Member*>& candidates = near.empty() ? all : near;
  GossipMessage ping = Compose(GossipMessage::Kind::Ping);
  ping.mWantsMemberList = true;
  SendTo(*candidates[mRandom() % candidates.size()], std::move(ping),
         aDatagrams);
  ++mMemberListRequests;
  mNextMemberListRequest =
      mMemberListRequests < kMemberListRequestDelays.size()
          ? aNow + kMemberListRequestDelays[mMemberListRequests]
          : TimePoint::max();
}

void GossipEngine::PingLocalAndRemote(TimePoint aNow, Datagrams& aDatagrams) {
  PingNext(true, kLocalPings, aNow, aDatagrams);
  PingNext(false, kRemotePings, aNow, aDatagrams);
}

void GossipEngine::PingNext(bool aLocal, std::size_t aCount, TimePoint aNow,
                            Datagrams& aDatagrams) {
  std::vector<std::string>& order = aLocal ? mLocalPingOrder : mRemotePingOrder;
  std::size_t tries = mMembers.size();
  while (aCount > 0 && tries-- > 0) {
    if (order.empty()) {
      for (const auto& [name, member] : mMembers) {
        if ((member.mRecord.mDataCentre == mSelf.mDataCentre) == aLocal) {
          order.push_back(name);
        }
      }
      std::shuffle(order.begin(), order.end(), mRandom);
    }
    if (order.empty()) {
      return;
    }
    const auto found = mMembers.find(order.back());
    order.pop_back();
    if (found != mMembers.end() && !found->second.mPingedAt) {
      Ping(found->second, aNow, aDatagrams);
      --aCount;
    }
  }
}

void GossipEngine::Ping(Member& aMember, TimePoint aNow,
                        Datagrams& aDatagrams) {
  aMember.mPingedAt = aNow;
  mNextPingCheck = std::min<TimePoint>(mNextPingCheck, aNow + kPingTimeout);
  SendTo(aMember, Compose(GossipMessage::Kind::Ping), aDatagrams);
}

void GossipEngine::SendTo(Member& aMember, GossipMessage aMessage,
                          Datagrams& aDatagrams) {
  if (aMember.mReachable && aMember.mAckedVersion == mSelf.mVersion) {
    aMessage.mSender = MemberRecord{};
    aMessage.mSender.mName = mSelf.mName;
    aMessage.mSender.mIncarnation = mSelf.mIncarnation;
    aMessage.mSender.mVersion = mSelf.mVersion;
  } else {
    aMember.mSentVersion = mSelf.mVersion;
  }
  aDatagrams.push_back(
      Datagram{aMember.mRecord.mGossipAddress, std::move(aMessage)});
}

void GossipEngine::CheckPings(TimePoint aNow, Datagrams& aDatagrams) {
  if (aNow < mNextPingCheck) {
    return;
  }
  mNextPingCheck = TimePoint::max();
  std::vector<std::string> unresponsive;
  for (auto& [name, member] : mMembers) {
    if (!member.mPingedAt) {
      continue;
    }
    if (aNow - *member.mPingedAt < kPingTimeout) {
      mNextPingCheck =
          std::min<TimePoint>(mNextPingCheck, *member.mPingedAt + kPingTimeout);
      continue;
    }
    member.mPingedAt.reset();
    ++member.mUnanswered;
    if (member.mUnanswered < kMaxUnanswered) {
      Ping(member, aNow, aDatagrams);
      continue;
    }
    member.mAckedVersion.reset();
    if (member.mReachable) {
      member.mReachable = false;
      NoteMembershipChange();
      unresponsive.push_back(name);
    }
  }
  if (unresponsive.empty()) {
    return;
  }
  GossipMessage message = Compose(GossipMessage::Kind::Notice);
  message.mUnresponsive = unresponsive;
  std::vector<MemberRecord> others = Reachable();
  std::shuffle(others.begin(), others.end(), mRandom);
  others.resize(std::min(others.size(), kUnresponsiveFanOut));
  for (const MemberRecord& other : others) {
    aDatagrams.push_back(Datagram{other.mGossipAddress, message});
  }
}

Datagrams GossipEngine::MessageArrived(const GossipMessage& aMessage,
                                       TimePoint aNow) {
  Datagrams datagrams;
  if (aMessage.mSender.mName == mSelf.mName) {
    return datagrams;
  }
  ApplyCrashes(aMessage, aNow);
  const bool endsPartition =
      aNow >= mNextPartitionRequest && EndsPartition(aMessage.mSender);
  if (!ApplySender(aMessage, aNow)) {
    return datagrams;
  }
  Member& sender = mMembers.at(aMessage.mSender.mName);
  if (endsPartition) {
    mNextPartitionRequest = aNow + kPartitionRequestInterval;
    GossipMessage ping = Compose(GossipMessage::Kind::Ping);
    ping.mWantsMemberList = true;
    SendTo(sender, std::move(ping), datagrams);
  }
  if (aMessage.mKind == GossipMessage::Kind::Ping) {
    SendTo(sender, Compose(GossipMessage::Kind::Ack), datagrams);
    if (aMessage.mWantsMemberList) {
      SendMemberList(sender.mRecord.mGossipAddress, datagrams);
    }
  }
  const bool digestsDiffer =
      aMessage.mCrashDigest && *aMessage.mCrashDigest != mCrashDigest;
  if (digestsDiffer && aMessage.mKind != GossipMessage::Kind::Notice) {
    SendCrashes(sender, aNow, datagrams);
  }
  for (const MemberRecord& record : aMessage.mRecords) {
    ApplyRecord(record, aNow, datagrams);
  }
  for (const std::string& name : aMessage.mUnresponsive) {
    const auto found = mMembers.find(name);
    if (found != mMembers.end() && found->second.mReachable &&
        !found->second.mPingedAt &&
        aNow - found->second.mHeardAt > kRecentlyHeard) {
      Ping(found->second, aNow, datagrams);
    }
  }
  return datagrams;
}

bool GossipEngine::EndsPartition(const MemberRecord& aSender) const {
  const auto found = mMembers.find(aSender.mName);
  if (found == mMembers.end()) {
    return false;
  }
  const Member& sender = found->second;
  // A host that was restarted knows no more than this one.
  const bool regained = sender.mWasReachable && !sender.mReachable &&
                        sender.mRecord.mIncarnation == aSender.mIncarnation;
  if (!regained) {
    return false;
  }
  return std::none_of(
      mMembers.begin(), mMembers.end(), [&sender](const auto& aEntry) {
        return aEntry.second.mReachable &&
               aEntry.second.mRecord.mDataCentre == sender.mRecord.mDataCentre;
      });
}

bool GossipEngine::ApplySender(const GossipMessage& aMessage, TimePoint aNow) {
  const MemberRecord& sender = aMessage.mSender;
  const auto found = mMembers.find(sender.mName);
  if (sender.IsBrief() &&
      (found == mMembers.end() || IsNewer(sender, found->second.mRecord))) {
    // The sender assumes that its record is known here. When its pings stay
    // unanswered, it sends the full record again.
    return false;
  }
  Member& member = mMembers[sender.mName];
  if (IsNewer(member.mRecord, sender)) {
    // A delayed datagram from before a restart or a change of the record.
    return true;
  }
  if (IsNewer(sender, member.mRecord)) {
    if (sender.mIncarnation != member.mRecord.mIncarnation) {
      member.mAckedVersion.reset();
    }
    member.mRecord = sender;
    mPendingUpdates[sender.mName] = kMaxRecordTransmissions;
    NoteMembershipChange();
  }
  if (aMessage.mKind == GossipMessage::Kind::Ack) {
    member.mAckedVersion = member.mSentVersion;
  }
  if (HasChangedSignificantly(member.mRecord.mLoad, aMessage.mLoad)) {
    ++mLoadGeneration;
  }
  member.mRecord.mLoad = aMessage.mLoad;
  member.mHeardAt = aNow;
  member.mPingedAt.reset();
  member.mUnanswered = 0;
  if (!member.mReachable) {
    member.mReachable = true;
    member.mWasReachable = true;
    NoteMembershipChange();
  }
  return true;
}

void GossipEngine::ApplyRecord(const MemberRecord& aRecord, TimePoint aNow,
                               Datagrams& aDatagrams) {
  if (aRecord.mName == mSelf.mName) {
    if (aRecord.mIncarnation == mSelf.mIncarnation) {
      mSelf.mVersion = std::max(mSelf.mVersion, aRecord.mVersion);
    }
    return;
  }
  const auto found = mMembers.find(aRecord.mName);
  if (found == mMembers.end()) {
    Member& member = mMembers[aRecord.mName];
    member.mRecord = aRecord;
    member.mHeardAt = aNow;
    mPendingUpdates[aRecord.mName] = kMaxRecordTransmissions;
    NoteMembershipChange();
    Ping(member, aNow, aDatagrams);
    return;
  }
  Member& member = found->second;
  if (!IsNewer(aRecord, member.mRecord)) {
    return;
  }
  const HostLoad load = member.mRecord.mLoad;
  member.mRecord = aRecord;
  member.mRecord.mLoad = load;
  mPendingUpdates[aRecord.mName] = kMaxRecordTransmissions;
  NoteMembershipChange();
  if (!member.mReachable && !member.mPingedAt) {
    Ping(member, aNow, aDatagrams);
  }
}

Datagrams GossipEngine::PingMembers(const std::vector<std::string>& aNames,
                                    TimePoint aNow) {
  Datagrams datagrams;
  for (const std::string& name : aNames) {
    const auto found = mMembers.find(name);
    if (found != mMembers.end() && !found->second.mPingedAt) {
      Ping(found->second, aNow, datagrams);
    }
  }
  return datagrams;
}

Datagrams GossipEngine::PingSome(std::size_t aCount, TimePoint aNow) {
  std::vector<Member*> candidates;
  for (auto& [name, member] : mMembers) {
    if (member.mReachable && !member.mPingedAt) {
      candidates.push_back(&member);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), mRandom);
  std::stable_partition(
      candidates.begin(), candidates.end(), [this](const Member* aMember) {
        return aMember->mRecord.mDataCentre == mSelf.mDataCentre;
      });
  candidates.resize(std::min(candidates.size(), aCount));
  Datagrams datagrams;
  for (Member* const member : candidates) {
    Ping(*member, aNow, datagrams);
  }
  return datagrams;
}

Datagrams GossipEngine::ResumeAfterSuspension(
    const std::vector<std::string>& aPingFirst, TimePoint aNow) {
  Datagrams datagrams;
  for (auto& [name, member] : mMembers) {
    member.mPingedAt.reset();
    member.mUnanswered = 0;
  }
  StartMemberListRequests(aNow);
  datagrams = PingMembers(aPingFirst, aNow);
  PingLocalAndRemote(aNow, datagrams);
  return datagrams;
}

std::vector<MemberRecord> GossipEngine::Reachable() const {
  std::vector<MemberRecord> reachable;
  for (const auto& [name, member] : mMembers) {
    if (member.mReachable) {
      reachable.push_back(member.mRecord);
    }
  }
  return reachable;
}

std::optional<MemberRecord> GossipEngine::Find(const std::string& aName) const {
  const auto found = mMembers.find(aName);
  if (found == mMembers.end()) {
    return std::nullopt;
  }
  return found->second.mRecord;
}

void GossipEngine::ExpireMembers(TimePoint aNow) {
  const std::size_t expired =
      std::erase_if(mMembers, [aNow](const auto& aEntry) {
        return !aEntry.second.mReachable &&
               aNow - aEntry.second.mHeardAt > kUnreachableExpiry;
      });
  if (expired > 0) {
    NoteMembershipChange();
  }
}

std::vector<std::string> GossipEngine::KnownNames() const {
  std::vector<std::string> names{mSelf.mName};
  for (const auto& [name, member] : mMembers) {
    names.push_back(name);
  }
  return names;
}

void GossipEngine::NoteMembershipChange() { ++mGeneration; }

}  // namespace papayawheel
