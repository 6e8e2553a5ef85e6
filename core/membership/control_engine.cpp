#include "core/membership/control_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** Hosts of each data centre that watch the platform. */
constexpr std::size_t kWatchersPerDataCentre = 2;

/** Number of hosts to which one host pushes a new configuration. */
constexpr std::size_t kPushFanOut = 2;

/** Number of hosts from the settings that a starting host contacts; those of
 * the configuration follow later. */
constexpr std::size_t kMaxInitialPeers = 3;

constexpr std::chrono::seconds kWatchTimeout{30};
constexpr std::chrono::seconds kReadRetryDelay{1};

/** Minimum time between two heartbeats to the same host. */
constexpr std::chrono::seconds kMinHeartbeatPeriod{1};

/** Part of the budget that heartbeats may use; the rest is for configuration
 * changes. */
constexpr double kHeartbeatBudgetFraction = 0.75;

/** Approximate size of one exchange of heartbeats, with HTTP headers. */
constexpr std::size_t kExchangeBytes = 1200;

/** Heartbeat period for a host that refuses connections, to keep the evidence
 * that it is down recent. */
constexpr std::chrono::seconds kRefusedPeriod{1};

/** Time after which the view can be fresh although some of the other hosts have
 * not answered. */
constexpr std::chrono::milliseconds kPeerAnswerTimeout{1500};

}  // namespace

ControlEngine::ControlEngine(ControlSettings aSettings, const Clock& aClock,
                             AuditTrail& aAudit)
    : mSettings(std::move(aSettings)),
      mStore(aClock, aAudit),
      mBudget(mSettings.mBytesPerSecond, aClock.Now()),
      mAudit(aAudit),
      mRandom(mSettings.mSeed),
      mInvalidatedAt(aClock.Now()),
      mNextRead(aClock.Now()) {}

ControlActions ControlEngine::Tick(TimePoint aNow) {
  ControlActions actions;
  mMembership.SetPeriod(HeartbeatPeriod());
  ContactConfiguredPeers(actions);
  StartReading(aNow, actions);
  SendHeartbeats(aNow, actions);
  AuditStatusChanges(aNow);
  return actions;
}

void ControlEngine::StartReading(TimePoint aNow, ControlActions& aActions) {
  if (mReading || aNow < mNextRead) {
    return;
  }
  const bool watcher = IsWatcher(aNow);
  if (!watcher && mReadSinceInvalidation) {
    return;
  }
  mReading = true;
  const std::uint64_t newerThan =
      std::max(mStore.Revision(), mStore.RefusedRevision());
  const bool mayWait = watcher && mReadSinceInvalidation;
  aActions.emplace_back(
      ReadPlatformAction{mStore.Revision(), mayWait ? newerThan : 0,
                         mayWait ? std::chrono::milliseconds(kWatchTimeout)
                                 : std::chrono::milliseconds(0)});
}

void ControlEngine::ContactConfiguredPeers(ControlActions& aActions) {
  if (mContactedConfiguredPeers) {
    return;
  }
  mContactedConfiguredPeers = true;
  std::vector<std::string> addresses = mSettings.mPeers;
  std::erase(addresses, mSettings.mAddress);
  std::shuffle(addresses.begin(), addresses.end(), mRandom);
  addresses.resize(std::min(addresses.size(), kMaxInitialPeers));
  for (const std::string& address : addresses) {
    aActions.emplace_back(SendHeartbeatAction{"", address});
  }
}

void ControlEngine::SendHeartbeats(TimePoint aNow, ControlActions& aActions) {
  std::vector<std::pair<TimePoint, std::string>> due;
  for (const auto& [name, peer] : mPeers) {
    if (!peer.mBusy && peer.mNextHeartbeat <= aNow) {
      due.emplace_back(peer.mNextHeartbeat, name);
    }
  }
  // The longest overdue hosts come first, so that a small budget reaches every
  // host in turn.
  std::sort(due.begin(), due.end());
  std::size_t pending = 0;
  for (const auto& [since, name] : due) {
    if (!mBudget.MaySend(pending, aNow)) {
      return;
    }
    pending += kExchangeBytes;
    mPeers.at(name).mBusy = true;
    aActions.emplace_back(
        SendHeartbeatAction{name, mStore.InForce()->mHosts.at(name).mAddress});
  }
}

ControlActions ControlEngine::PlatformAnswered(const std::string& aText,
                                               TimePoint aNow) {
  mReading = false;
  mReadSinceInvalidation = true;
  mHeardSinceInvalidation = true;
  mNextRead = aNow;
  return AcceptChanges(aText, "platform", aNow);
}

void ControlEngine::PlatformFailed(TimePoint aNow) {
  mReading = false;
  mNextRead = aNow + kReadRetryDelay + Jitter(kReadRetryDelay);
}

ControlActions ControlEngine::HeartbeatAnswered(
    const SendHeartbeatAction& aSent, const Heartbeat& aAnswer,
    TimePoint aSentAt, TimePoint aNow) {
  const auto found = mPeers.find(aSent.mHost);
  if (found != mPeers.end()) {
    Peer& peer = found->second;
    peer.mBusy = false;
    peer.mRefused = false;
    peer.mLastResult = aNow;
    peer.mNextHeartbeat = aNow + HeartbeatPeriod();
  }
  if (aSentAt >= mInvalidatedAt && aAnswer.mRevision > 0) {
    mHeardSinceInvalidation = true;
  }
  mMembership.NoteHeartbeat(aAnswer, aNow);
  ControlActions actions;
  Pull(aSent.mAddress, aAnswer.mRevision, actions);
  return actions;
}

void ControlEngine::HeartbeatFailed(const SendHeartbeatAction& aSent,
                                    HeartbeatFailure aFailure, TimePoint aNow) {
  const auto found = mPeers.find(aSent.mHost);
  if (found == mPeers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.mBusy = false;
  peer.mLastResult = aNow;
  peer.mRefused = aFailure == HeartbeatFailure::Refused;
  peer.mNextHeartbeat =
      aNow + (peer.mRefused ? Duration(kRefusedPeriod) : HeartbeatPeriod());
  mMembership.NoteMissedHeartbeat(aSent.mHost);
}

ControlActions ControlEngine::HeartbeatArrived(const Heartbeat& aHeartbeat,
                                               TimePoint aNow) {
  mMembership.NoteHeartbeat(aHeartbeat, aNow);
  ControlActions actions;
  const auto& hosts = mStore.InForce()->mHosts;
  const auto sender = hosts.find(aHeartbeat.mHost);
  if (sender != hosts.end()) {
    Pull(sender->second.mAddress, aHeartbeat.mRevision, actions);
  }
  return actions;
}

void ControlEngine::Pull(const std::string& aAddress, std::uint64_t aRevision,
                         ControlActions& aActions) {
  if (mPulling || aRevision <= mStore.Revision()) {
    return;
  }
  mPulling = true;
  aActions.emplace_back(PullAction{aAddress, mStore.Revision()});
}

ControlActions ControlEngine::ConfigurationArrived(const std::string& aText,
                                                   const std::string& aSource,
                                                   TimePoint aNow) {
  mPulling = false;
  return AcceptChanges(aText, aSource, aNow);
}

ControlActions ControlEngine::AcceptChanges(const std::string& aText,
                                            const std::string& aSource,
                                            TimePoint aNow) {
  ControlActions actions;
  const std::optional<Snapshot> snapshot =
      ApplyChanges(mStore.SnapshotInForce(), aText);
  if (!snapshot || mStore.Offer(*snapshot, aSource) != OfferResult::Applied) {
    return actions;
  }
  RefreshPeers(aNow);
  PushConfiguration(aNow, actions);
  return actions;
}

void ControlEngine::RefreshPeers(TimePoint aNow) {
  const auto& hosts = mStore.InForce()->mHosts;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return !hosts.contains(aEntry.first);
  });
  for (const auto& [name, host] : hosts) {
    if (name == mSettings.mName) {
      continue;
    }
    const auto [peer, added] = mPeers.try_emplace(name);
    // A new peer gets a heartbeat at once, because the view of a starting host
    // becomes fresh by the first exchanges. The others get theirs earlier than
    // planned, so that shares of the old split are released soon.
    const auto soon = aNow + (added ? Duration::zero()
                                    : Jitter(std::chrono::milliseconds(200)));
    peer->second.mNextHeartbeat =
        added ? soon : std::min(peer->second.mNextHeartbeat, TimePoint(soon));
  }
}

void ControlEngine::PushConfiguration(TimePoint aNow,
                                      ControlActions& aActions) {
  const std::vector<std::string> ranked =
      RankByRendezvous(mSettings.mDataCentre, HostsOf(mSettings.mDataCentre));
  const auto self = std::find(ranked.begin(), ranked.end(), mSettings.mName);
  if (self != ranked.end()) {
    PushToChildren(ranked, static_cast<std::size_t>(self - ranked.begin()),
                   aNow, aActions);
  }
}

void ControlEngine::PushToChildren(const std::vector<std::string>& aRanked,
                                   std::size_t aRank, TimePoint aNow,
                                   ControlActions& aActions) {
  for (std::size_t child = 0; child < kPushFanOut; ++child) {
    const std::size_t rank =
        kPushFanOut * aRank + kWatchersPerDataCentre + child;
    if (rank >= aRanked.size()) {
      return;
    }
    const std::string& name = aRanked[rank];
    if (mMembership.StatusOf(name, aNow) == HostStatus::Unresponsive) {
      // Push to the children of a host that cannot pass the configuration on.
      PushToChildren(aRanked, rank, aNow, aActions);
      continue;
    }
    const MembershipView::LastHeartbeat* const last =
        mMembership.LastHeartbeatOf(name);
    const std::uint64_t base = last == nullptr ? 0 : last->mHeartbeat.mRevision;
    if (base < mStore.Revision()) {
      aActions.emplace_back(
          PushAction{mStore.InForce()->mHosts.at(name).mAddress, base});
    }
  }
}

void ControlEngine::InvalidateView(TimePoint aNow) {
  mInvalidatedAt = aNow;
  mHeardSinceInvalidation = false;
  mReadSinceInvalidation = false;
  mNextRead = aNow;
  mMembership.Clear();
  for (auto& [name, peer] : mPeers) {
    peer.mNextHeartbeat = aNow;
  }
}

bool ControlEngine::IsViewFresh(TimePoint aNow) const {
  if (mStore.Revision() == 0 || !mHeardSinceInvalidation || mPulling) {
    return false;
  }
  if (aNow - mInvalidatedAt >= kPeerAnswerTimeout) {
    return true;
  }
  return std::all_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return aEntry.second.mLastResult &&
           *aEntry.second.mLastResult >= mInvalidatedAt;
  });
}

void ControlEngine::NoteBytes(std::size_t aBytes, TimePoint aNow) {
  mBudget.Spend(aBytes, aNow);
}

bool ControlEngine::IsWatcher(TimePoint aNow) const {
  std::vector<std::string> candidates = HostsOf(mSettings.mDataCentre);
  std::erase_if(candidates, [&](const std::string& aName) {
    return aName != mSettings.mName &&
           mMembership.StatusOf(aName, aNow) == HostStatus::Unresponsive;
  });
  const std::vector<std::string> ranked =
      RankByRendezvous(mSettings.mDataCentre, candidates);
  const auto self = std::find(ranked.begin(), ranked.end(), mSettings.mName);
  // Nobody pushes to a host that is not in the configuration, so it watches to
  // find out when it is added.
  return self == ranked.end() ||
         self - ranked.begin() <
             static_cast<std::ptrdiff_t>(kWatchersPerDataCentre);
}

Duration ControlEngine::HeartbeatPeriod() const {
  // Each host exchanges two heartbeats per period with every other host: one
  // that it sends and one that it receives.
  const double bytes =
      2.0 * static_cast<double>(mPeers.size()) * kExchangeBytes;
  const std::chrono::duration<double> minPeriodForBudget(
      bytes / (mSettings.mBytesPerSecond * kHeartbeatBudgetFraction));
  return std::max<Duration>(
      kMinHeartbeatPeriod,
      std::chrono::duration_cast<Duration>(minPeriodForBudget));
}

void ControlEngine::AuditStatusChanges(TimePoint aNow) {
  for (const auto& [name, peer] : mPeers) {
    const HostStatus status = mMembership.StatusOf(name, aNow);
    const auto [last, added] = mLastStatuses.try_emplace(name, status);
    if (added || last->second == status) {
      continue;
    }
    mAudit.Record(AuditTopic::Membership, mStore.Revision(),
                  fmt::format("host \"{}\"", name),
                  fmt::format("{} was {}", HostStatusName(status),
                              HostStatusName(last->second)));
    last->second = status;
  }
}

std::vector<std::string> ControlEngine::HostsOf(
    const std::string& aDataCentre) const {
  std::vector<std::string> names;
  for (const auto& [name, host] : mStore.InForce()->mHosts) {
    if (host.mDataCentre == aDataCentre) {
      names.push_back(name);
    }
  }
  return names;
}

Duration ControlEngine::Jitter(Duration aMax) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(0, aMax.count())(mRandom));
}

}  // namespace papayawheel
