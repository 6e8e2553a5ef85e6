#include "tests/core/control_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/entry/call_engine.h"
#include "tests/sample_configuration.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{50};
constexpr milliseconds kTimeout{1000};
constexpr std::uint16_t kFirstPort = 1000;

}  // namespace

ControlFleet::ControlFleet(std::size_t aHosts, std::size_t aDataCentres,
                           std::uint32_t aSeed, double aBytesPerSecond)
    : mRandom(aSeed),
      mDataCentres(aDataCentres),
      mBytesPerSecond(aBytesPerSecond) {
  mNodes.resize(aHosts);
  std::string hosts;
  for (std::size_t host = 0; host < aHosts; ++host) {
    hosts +=
        fmt::format(R"({}{{"name":"{}","address":"{}","data_centre":"dc{}"}})",
                    host == 0 ? "" : ",", SampleHostName(host), AddressOf(host),
                    DataCentreOf(host));
  }
  mCurrent.mRevision = 1;
  mCurrent.mDocuments["fleet"] =
      Document{1, fmt::format(R"({{"services":[],"hosts":[{}]}})", hosts)};
  mLastValid = 1;
  mFirst = mCurrent;
  for (std::size_t host = 0; host < aHosts; ++host) {
    Restart(host);
  }
}

void ControlFleet::Advance(Duration aBy) {
  const TimePoint until = mClock.Now() + aBy;
  while (mClock.Now() < until) {
    const TimePoint tick = mClock.Now() + kTick;
    while (!mEvents.empty() && mEvents.begin()->first <= tick) {
      const auto first = mEvents.begin();
      const Event event = std::move(first->second);
      if (first->first > mClock.Now()) {
        mClock.Advance(
            std::chrono::duration_cast<Duration>(first->first - mClock.Now()));
      }
      mEvents.erase(first);
      event();
    }
    mClock.Advance(std::chrono::duration_cast<Duration>(tick - mClock.Now()));
    ServeWatches();
    for (std::size_t host = 0; host < Hosts(); ++host) {
      Node& node = mNodes[host];
      if (node.mEngine != nullptr && !node.mPaused) {
        NoteGap(host);
        Perform(host, node.mEngine->Tick(mClock.Now()));
      }
    }
    CheckRevisions();
  }
}

void ControlFleet::Publish(bool aValid) {
  ++mCurrent.mRevision;
  const std::string rate = aValid ? "5" : "-5";
  mCurrent.mDocuments["contracts/roofers"] = Document{
      mCurrent.mRevision,
      fmt::format(R"({{"customer":"roofers","rate_per_second":{},"burst":1,)"
                  R"("concurrency":{},"priority":1,"services":[]}})",
                  rate, mCurrent.mRevision)};
  if (aValid) {
    mLastValid = mCurrent.mRevision;
  }
}

void ControlFleet::SetPlatform(PlatformState aState) {
  if (aState == PlatformState::Stale && mPlatform != PlatformState::Stale) {
    mStale = mCurrent;
  }
  mPlatform = aState;
}

void ControlFleet::Kill(std::size_t aHost) {
  Node& node = mNodes[aHost];
  node.mEngine.reset();
  node.mDeferredEvents.clear();
  node.mPaused = false;
  ++node.mEpoch;
  std::erase_if(mWatches,
                [aHost](const Watch& aWatch) { return aWatch.mHost == aHost; });
}

void ControlFleet::Restart(std::size_t aHost) {
  Kill(aHost);
  Node& node = mNodes[aHost];
  ControlSettings settings;
  settings.mName = SampleHostName(aHost);
  settings.mAddress = AddressOf(aHost);
  settings.mDataCentre = fmt::format("dc{}", DataCentreOf(aHost));
  for (std::size_t peer = 0; peer < Hosts(); ++peer) {
    settings.mPeers.push_back(AddressOf(peer));
  }
  settings.mBytesPerSecond = mBytesPerSecond;
  settings.mSeed = static_cast<std::uint32_t>(mRandom());
  node.mAudit = std::make_unique<AuditTrail>(mClock, 10);
  node.mEngine =
      std::make_unique<ControlEngine>(settings, mClock, *node.mAudit);
  node.mLastTick = mClock.Now();
  node.mHighestRevision = 0;
}

void ControlFleet::SetPaused(std::size_t aHost, bool aPaused) {
  Node& node = mNodes[aHost];
  if (node.mEngine == nullptr) {
    return;
  }
  node.mPaused = aPaused;
  if (!aPaused) {
    for (const Event& event : std::exchange(node.mDeferredEvents, {})) {
      event();
    }
  }
}

std::uint64_t ControlFleet::Revision(std::size_t aHost) const {
  const Node& node = mNodes[aHost];
  return node.mEngine == nullptr ? 0 : node.mEngine->Store().Revision();
}

bool ControlFleet::IsViewFresh(std::size_t aHost) const {
  const Node& node = mNodes[aHost];
  return node.mEngine != nullptr && !node.mPaused &&
         node.mEngine->IsViewFresh(mClock.Now());
}

bool ControlFleet::IsInForceEverywhere() const {
  for (std::size_t host = 0; host < Hosts(); ++host) {
    if (mNodes[host].mEngine != nullptr && Revision(host) != mLastValid) {
      return false;
    }
  }
  return true;
}

std::uint64_t ControlFleet::Bytes(std::size_t aHost) const {
  return mNodes[aHost].mEngine->Budget().TotalBytes();
}

void ControlFleet::At(Duration aDelay, Event aEvent) {
  mEvents.emplace(mClock.Now() + aDelay, std::move(aEvent));
}

void ControlFleet::AtHost(std::size_t aHost, Duration aDelay, Event aEvent) {
  const std::uint64_t epoch = mNodes[aHost].mEpoch;
  At(aDelay, [this, aHost, epoch, event = std::move(aEvent)] {
    Node& node = mNodes[aHost];
    if (node.mEngine == nullptr || node.mEpoch != epoch) {
      return;
    }
    if (node.mPaused) {
      node.mDeferredEvents.push_back(event);
      return;
    }
    NoteGap(aHost);
    event();
  });
}

void ControlFleet::Perform(std::size_t aHost, const ControlActions& aActions) {
  for (const ControlAction& action : aActions) {
    if (const auto* read = std::get_if<ReadPlatformAction>(&action)) {
      ReadPlatform(aHost, *read);
    } else if (const auto* beat = std::get_if<SendHeartbeatAction>(&action)) {
      ExchangeHeartbeat(aHost, *beat);
    } else if (const auto* pull = std::get_if<PullAction>(&action)) {
      Transfer(aHost, *pull);
    } else if (const auto* push = std::get_if<PushAction>(&action)) {
      Transfer(aHost, *push);
    }
  }
}

void ControlFleet::ReadPlatform(std::size_t aHost,
                                const ReadPlatformAction& aAction) {
  ++mPlatformCalls;
  const auto fail = [this, aHost] {
    AtHost(aHost, milliseconds(5), [this, aHost] {
      mNodes[aHost].mEngine->PlatformFailed(mClock.Now());
    });
  };
  if (!CanReachPlatform(aHost)) {
    fail();
    return;
  }
  mWatches.push_back(Watch{
      aHost, aAction.mBase, aAction.mNewerThan, mClock.Now() + aAction.mWait,
      fail, [this, aHost](const std::string& aText) {
        AtHost(aHost, milliseconds(5), [this, aHost, aText] {
          mNodes[aHost].mEngine->NoteBytes(aText.size() + 400, mClock.Now());
          Perform(aHost,
                  mNodes[aHost].mEngine->PlatformAnswered(aText, mClock.Now()));
        });
      }});
}

void ControlFleet::ServeWatches() {
  std::vector<Watch> due;
  std::erase_if(mWatches, [&](const Watch& aWatch) {
    const bool ends = !CanReachPlatform(aWatch.mHost) ||
                      Visible().mRevision > aWatch.mNewerThan ||
                      mClock.Now() >= aWatch.mEnds;
    if (ends) {
      due.push_back(aWatch);
    }
    return ends;
  });
  for (const Watch& watch : due) {
    if (CanReachPlatform(watch.mHost)) {
      watch.mAnswer(WriteChanges(Visible(), watch.mBase));
    } else {
      watch.mFail();
    }
  }
}

void ControlFleet::ExchangeHeartbeat(std::size_t aHost,
                                     const SendHeartbeatAction& aAction) {
  const std::size_t other = HostAt(aAction.mAddress);
  const TimePoint sentAt = mClock.Now();
  const Duration way = DelayBetween(aHost, other);
  const auto fail = [this, aHost, aAction](HeartbeatFailure aFailure,
                                           Duration aDelay) {
    AtHost(aHost, aDelay, [this, aHost, aAction, aFailure] {
      mNodes[aHost].mEngine->HeartbeatFailed(aAction, aFailure, mClock.Now());
    });
  };
  if (!CanReach(aHost, other) || mNodes[other].mPaused) {
    fail(HeartbeatFailure::NoAnswer, kTimeout);
    return;
  }
  if (mNodes[other].mEngine == nullptr) {
    fail(HeartbeatFailure::Refused, way * 2);
    return;
  }
  const Heartbeat mine = HeartbeatOf(aHost);
  const std::size_t bytes = 2 * (WriteHeartbeat(mine).size() + 250);
  mNodes[aHost].mEngine->NoteBytes(bytes, mClock.Now());
  AtHost(other, way, [=, this] {
    ControlEngine& engine = *mNodes[other].mEngine;
    engine.NoteBytes(bytes, mClock.Now());
    Perform(other, engine.HeartbeatArrived(mine, mClock.Now()));
    const Heartbeat answer = HeartbeatOf(other);
    AtHost(aHost, way, [=, this] {
      Perform(aHost, mNodes[aHost].mEngine->HeartbeatAnswered(
                         aAction, answer, sentAt, mClock.Now()));
    });
  });
}

void ControlFleet::Transfer(std::size_t aHost, const PullAction& aAction) {
  const std::size_t other = HostAt(aAction.mAddress);
  const Duration way = DelayBetween(aHost, other);
  if (!CanReach(aHost, other) || mNodes[other].mPaused ||
      mNodes[other].mEngine == nullptr) {
    AtHost(aHost, kTimeout,
           [this, aHost] { mNodes[aHost].mEngine->PullFailed(); });
    return;
  }
  const std::string text = WriteChanges(
      mNodes[other].mEngine->Store().SnapshotInForce(), aAction.mBase);
  AtHost(aHost, way * 2, [this, aHost, text] {
    mNodes[aHost].mEngine->NoteBytes(text.size() + 400, mClock.Now());
    Perform(aHost, mNodes[aHost].mEngine->ConfigurationArrived(text, "a host",
                                                               mClock.Now()));
  });
}

void ControlFleet::Transfer(std::size_t aHost, const PushAction& aAction) {
  const std::size_t other = HostAt(aAction.mAddress);
  if (!CanReach(aHost, other)) {
    return;
  }
  const std::string text = WriteChanges(
      mNodes[aHost].mEngine->Store().SnapshotInForce(), aAction.mBase);
  mNodes[aHost].mEngine->NoteBytes(text.size() + 400, mClock.Now());
  AtHost(other, DelayBetween(aHost, other), [this, other, text] {
    Perform(other, mNodes[other].mEngine->ConfigurationArrived(text, "a host",
                                                               mClock.Now()));
  });
}

void ControlFleet::NoteGap(std::size_t aHost) {
  Node& node = mNodes[aHost];
  if (mClock.Now() - node.mLastTick >= kMaxControlGap) {
    node.mEngine->InvalidateView(mClock.Now());
    if (node.mEngine->IsViewFresh(mClock.Now())) {
      mViolation = fmt::format(
          "host {} has a fresh view right after a suspension", aHost);
    }
  }
  node.mLastTick = mClock.Now();
}

void ControlFleet::CheckRevisions() {
  for (std::size_t host = 0; host < Hosts(); ++host) {
    Node& node = mNodes[host];
    const std::uint64_t revision = Revision(host);
    if (node.mEngine == nullptr) {
      continue;
    }
    if (revision < node.mHighestRevision) {
      mViolation = fmt::format("host {} reverted from revision {} to {}", host,
                               node.mHighestRevision, revision);
    }
    node.mHighestRevision = revision;
  }
}

Heartbeat ControlFleet::HeartbeatOf(std::size_t aHost) const {
  Heartbeat heartbeat;
  heartbeat.mHost = SampleHostName(aHost);
  heartbeat.mIncarnation = mNodes[aHost].mEpoch;
  heartbeat.mRevision = Revision(aHost);
  heartbeat.mReady = IsViewFresh(aHost);
  return heartbeat;
}

std::size_t ControlFleet::HostAt(const std::string& aAddress) const {
  return std::stoul(aAddress.substr(aAddress.rfind(':') + 1)) - kFirstPort;
}

std::string ControlFleet::AddressOf(std::size_t aHost) const {
  return fmt::format("10.0.0.1:{}", kFirstPort + aHost);
}

std::size_t ControlFleet::DataCentreOf(std::size_t aHost) const {
  return aHost % mDataCentres;
}

bool ControlFleet::CanReach(std::size_t aFrom, std::size_t aTo) {
  const bool fromSide = DataCentreOf(aFrom) < mPartitionedBelow;
  const bool toSide = DataCentreOf(aTo) < mPartitionedBelow;
  return fromSide == toSide &&
         std::uniform_int_distribution<int>(0, 99)(mRandom) >= mLossPercent;
}

bool ControlFleet::CanReachPlatform(std::size_t aHost) const {
  return mPlatform != PlatformState::Down &&
         DataCentreOf(aHost) >= mPartitionedBelow;
}

const Snapshot& ControlFleet::Visible() const {
  if (mPlatform == PlatformState::Old) {
    return mFirst;
  }
  return mPlatform == PlatformState::Stale ? mStale : mCurrent;
}

Duration ControlFleet::DelayBetween(std::size_t aFrom, std::size_t aTo) {
  const bool near = DataCentreOf(aFrom) == DataCentreOf(aTo);
  return std::chrono::microseconds(near ? 100 : 1500);
}

}  // namespace papayawheel
