// The part of GossipEngine that composes messages and selects their receivers.

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

#include "core/gossip/gossip_engine.h"

namespace papayawheel {
namespace {

constexpr std::size_t kRecordsPerMessage = 6;
constexpr std::size_t kCrashesPerMessage = 16;

/** With up to this many other hosts, broadcasts go directly to all of them. */
constexpr std::size_t kMaxDirectFleet = 40;
/** Hosts of each other data centre that get the broadcasts of a larger fleet.
 */
constexpr std::size_t kRelaysPerDataCentre = 4;
/** The same for changes of the view. There are fewer, because the receivers
 * then fetch the changes from the sender, over a slow link. */
constexpr std::size_t kViewRelaysPerDataCentre = 2;

/** The first kViewRelaysPerDataCentre hosts of each data centre. */
std::vector<MemberRecord> ChooseRelays(std::vector<MemberRecord> aOthers) {
  std::map<std::string, std::size_t> chosen;
  std::erase_if(aOthers, [&chosen](const MemberRecord& aOther) {
    return ++chosen[aOther.mDataCentre] > kViewRelaysPerDataCentre;
  });
  return aOthers;
}

/** The hosts at distances 1, 2, 4 and so on after this one in the order of
 * names, the farthest first. If every receiver sends a broadcast on in the same
 * way, all hosts are reached in as many steps as there are distances. */
std::vector<MemberRecord> ChooseFanOut(const std::vector<MemberRecord>& aSorted,
                                       const std::string& aSelf) {
  const auto isAfter = [&aSelf](const MemberRecord& aOther) {
    return aOther.mName > aSelf;
  };
  const auto next = static_cast<std::size_t>(std::distance(
      aSorted.begin(), std::find_if(aSorted.begin(), aSorted.end(), isAfter)));
  std::vector<MemberRecord> chosen;
  for (std::size_t distance = std::bit_floor(aSorted.size()); distance > 0;
       distance /= 2) {
    chosen.push_back(aSorted[(next + distance - 1) % aSorted.size()]);
  }
  return chosen;
}

}  // namespace

bool GossipEngine::UsesRelays() const {
  return mMembers.size() > kMaxDirectFleet;
}

GossipMessage GossipEngine::Compose(GossipMessage::Kind aKind) {
  GossipMessage message;
  message.mKind = aKind;
  message.mSender = mSelf;
  message.mView = mViewSource();
  message.mLoad = mSelf.mLoad;
  message.mCrashDigest = mCrashDigest;
  for (auto it = mPendingUpdates.begin();
       it != mPendingUpdates.end() &&
       message.mRecords.size() < kRecordsPerMessage;) {
    const auto found = mMembers.find(it->first);
    if (found != mMembers.end()) {
      message.mRecords.push_back(found->second.mRecord);
    }
    it = found == mMembers.end() || --it->second == 0
             ? mPendingUpdates.erase(it)
             : std::next(it);
  }
  return message;
}

void GossipEngine::SendMemberList(const std::string& aAddress,
                                  Datagrams& aDatagrams) {
  GossipMessage message = Compose(GossipMessage::Kind::Notice);
  message.mRecords.clear();
  for (const auto& [name, member] : mMembers) {
    if (!member.mReachable || member.mRecord.mGossipAddress == aAddress) {
      continue;
    }
    message.mRecords.push_back(member.mRecord);
    if (message.mRecords.size() == kRecordsPerMessage) {
      aDatagrams.push_back(Datagram{aAddress, message});
      message.mRecords.clear();
    }
  }
  if (!message.mRecords.empty()) {
    aDatagrams.push_back(Datagram{aAddress, message});
  }
}

Datagrams GossipEngine::Announce() {
  return Broadcast(Compose(GossipMessage::Kind::Notice));
}

Datagrams GossipEngine::BroadcastCrashes(
    const std::vector<CrashRecord>& aCrashes, TimePoint aNow) {
  for (const CrashRecord& crash : aCrashes) {
    mCrashes.Add(crash, aNow);
  }
  mCrashDigest = mCrashes.Digest(aNow);
  Datagrams datagrams;
  for (std::size_t first = 0; first < aCrashes.size();
       first += kCrashesPerMessage) {
    const std::size_t end =
        std::min(aCrashes.size(), first + kCrashesPerMessage);
    GossipMessage message = Compose(GossipMessage::Kind::Notice);
    message.mCrashes.assign(
        aCrashes.begin() + static_cast<std::ptrdiff_t>(first),
        aCrashes.begin() + static_cast<std::ptrdiff_t>(end));
    const Datagrams some = Broadcast(message);
    datagrams.insert(datagrams.end(), some.begin(), some.end());
  }
  return datagrams;
}

Datagrams GossipEngine::Broadcast(const GossipMessage& aMessage) {
  Datagrams datagrams;
  std::vector<MemberRecord> others = Reachable();
  std::shuffle(others.begin(), others.end(), mRandom);
  std::map<std::string, std::size_t> relays;
  for (const MemberRecord& other : others) {
    const bool near = other.mDataCentre == mSelf.mDataCentre;
    if (near || !UsesRelays() ||
        relays[other.mDataCentre]++ < kRelaysPerDataCentre) {
      datagrams.push_back(Datagram{other.mGossipAddress, aMessage});
    }
  }
  return datagrams;
}

void GossipEngine::ApplyCrashes(const GossipMessage& aMessage, TimePoint aNow) {
  for (const CrashRecord& crash : aMessage.mCrashes) {
    if (mCrashes.Add(crash, aNow)) {
      mReceivedCrashes.push_back(crash);
    }
  }
  mCrashDigest = mCrashes.Digest(aNow);
}

std::vector<CrashRecord> GossipEngine::TakeReceivedCrashes() {
  return std::exchange(mReceivedCrashes, {});
}

void GossipEngine::SendCrashes(Member& aMember, TimePoint aNow,
                               Datagrams& aDatagrams) {
  GossipMessage message = Compose(GossipMessage::Kind::Notice);
  message.mRecords.clear();
  for (const CrashRecord& crash : mCrashes.RecordsToShare(aNow)) {
    message.mCrashes.push_back(crash);
    if (message.mCrashes.size() == kCrashesPerMessage) {
      SendTo(aMember, message, aDatagrams);
      message.mCrashes.clear();
    }
  }
  if (!message.mCrashes.empty()) {
    SendTo(aMember, std::move(message), aDatagrams);
  }
}

Datagrams GossipEngine::BroadcastView(bool aRemote) {
  std::vector<MemberRecord> receivers = Reachable();
  if (UsesRelays()) {
    const auto firstRemote = std::stable_partition(
        receivers.begin(), receivers.end(), [this](const MemberRecord& aOther) {
          return aOther.mDataCentre == mSelf.mDataCentre;
        });
    std::vector<MemberRecord> remote(firstRemote, receivers.end());
    receivers.erase(firstRemote, receivers.end());
    receivers = ChooseFanOut(receivers, mSelf.mName);
    if (aRemote) {
      std::shuffle(remote.begin(), remote.end(), mRandom);
      const auto relays = ChooseRelays(std::move(remote));
      receivers.insert(receivers.begin(), relays.begin(), relays.end());
    }
  }
  Datagrams datagrams;
  const GossipMessage message = Compose(GossipMessage::Kind::Notice);
  for (const MemberRecord& other : receivers) {
    datagrams.push_back(Datagram{other.mGossipAddress, message});
  }
  return datagrams;
}

Datagrams GossipEngine::BroadcastConfirmation() {
  std::map<std::string, std::vector<Member*>> byDataCentre;
  for (auto& [name, member] : mMembers) {
    if (member.mReachable) {
      byDataCentre[member.mRecord.mDataCentre].push_back(&member);
    }
  }
  Datagrams datagrams;
  GossipMessage message = Compose(GossipMessage::Kind::Notice);
  message.mPassViewOn = UsesRelays();
  for (auto& [centre, members] : byDataCentre) {
    if (UsesRelays()) {
      std::shuffle(members.begin(), members.end(), mRandom);
      members = {
          *std::max_element(members.begin(), members.end(),
                            [](const Member* aLeft, const Member* aRight) {
                              return ProcessorClass(aLeft->mRecord.mCapacity) <
                                     ProcessorClass(aRight->mRecord.mCapacity);
                            })};
    }
    for (Member* const member : members) {
      SendTo(*member, message, datagrams);
    }
  }
  return datagrams;
}

Datagrams GossipEngine::PassViewOn() {
  Datagrams datagrams;
  const GossipMessage message = Compose(GossipMessage::Kind::Notice);
  for (auto& [name, member] : mMembers) {
    if (member.mReachable && member.mRecord.mDataCentre == mSelf.mDataCentre) {
      SendTo(member, message, datagrams);
    }
  }
  return datagrams;
}

}  // namespace papayawheel
