#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/membership/control_engine.h"
#include "tests/fake_clock.h"

namespace papayawheel {

/** Simulates the control engines of several hosts, the platform that they read
 * and the network between them, on virtual time. */
class ControlFleet {
 public:
  enum class PlatformState {
    Up,
    Down,
    /** Answers with the values from the beginning of this state. */
    Stale,
    /** Answers with the first values that were ever published. */
    Old,
  };

  ControlFleet(std::size_t aHosts, std::size_t aDataCentres,
               std::uint32_t aSeed, double aBytesPerSecond = 29'000);

  void Advance(Duration aBy);
  /** Publishes a change of a contract, which hosts must refuse if it is not
   * valid. */
  void Publish(bool aValid);
  void SetPlatform(PlatformState aState);
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  void SetPaused(std::size_t aHost, bool aPaused);
  /** Cuts the data centres with numbers below the given one off from the others
   * and from the platform. 0 ends the partition. */
  void Partition(std::size_t aBelow) { mPartitionedBelow = aBelow; }
  /** Probability, in percent, that a message between hosts is lost. */
  void SetLoss(int aPercent) { mLossPercent = aPercent; }

  [[nodiscard]] std::size_t Hosts() const { return mNodes.size(); }
  [[nodiscard]] std::uint64_t Revision(std::size_t aHost) const;
  [[nodiscard]] bool IsViewFresh(std::size_t aHost) const;
  [[nodiscard]] std::uint64_t LastValid() const { return mLastValid; }
  /** Whether every running host has the last valid revision in force. */
  [[nodiscard]] bool IsInForceEverywhere() const;
  [[nodiscard]] std::uint64_t PlatformCalls() const { return mPlatformCalls; }
  [[nodiscard]] std::uint64_t Bytes(std::size_t aHost) const;
  [[nodiscard]] ControlEngine* Engine(std::size_t aHost) {
    return mNodes[aHost].mEngine.get();
  }
  [[nodiscard]] TimePoint Now() const { return mClock.Now(); }

  /** Description of the last violated guarantee; empty if there is none. */
  [[nodiscard]] const std::string& Violation() const { return mViolation; }

 private:
  using Event = std::function<void()>;

  struct Node {
    std::unique_ptr<AuditTrail> mAudit;
    std::unique_ptr<ControlEngine> mEngine;
    std::uint64_t mEpoch = 0;
    bool mPaused = false;
    TimePoint mLastTick;
    std::vector<Event> mDeferredEvents;
    std::uint64_t mHighestRevision = 0;
  };

  /** A read of the platform that waits for a newer revision. */
  struct Watch {
    std::size_t mHost;
    std::uint64_t mBase;
    std::uint64_t mNewerThan;
    TimePoint mEnds;
    Event mFail;
    std::function<void(std::string)> mAnswer;
  };

  void At(Duration aDelay, Event aEvent);
  void AtHost(std::size_t aHost, Duration aDelay, Event aEvent);
  void Perform(std::size_t aHost, const ControlActions& aActions);
  void ReadPlatform(std::size_t aHost, const ReadPlatformAction& aAction);
  void ExchangeHeartbeat(std::size_t aHost, const SendHeartbeatAction& aAction);
  void Transfer(std::size_t aHost, const PullAction& aAction);
  void Transfer(std::size_t aHost, const PushAction& aAction);
  void ServeWatches();
  void NoteGap(std::size_t aHost);
  void CheckRevisions();
  [[nodiscard]] Heartbeat HeartbeatOf(std::size_t aHost) const;
  [[nodiscard]] std::size_t HostAt(const std::string& aAddress) const;
  [[nodiscard]] std::string AddressOf(std::size_t aHost) const;
  [[nodiscard]] std::size_t DataCentreOf(std::size_t aHost) const;
  [[nodiscard]] bool CanReach(std::size_t aFrom, std::size_t aTo);
  [[nodiscard]] bool CanReachPlatform(std::size_t aHost) const;
  [[nodiscard]] const Snapshot& Visible() const;
  [[nodiscard]] Duration DelayBetween(std::size_t aFrom, std::size_t aTo);

  FakeClock mClock;
  std::mt19937 mRandom;
  std::size_t mDataCentres;
  double mBytesPerSecond;
  std::vector<Node> mNodes;
  std::multimap<TimePoint, Event> mEvents;
  std::vector<Watch> mWatches;
  Snapshot mCurrent;
  Snapshot mStale;
  Snapshot mFirst;
  PlatformState mPlatform = PlatformState::Up;
  std::uint64_t mLastValid = 0;
  std::uint64_t mPlatformCalls = 0;
  std::size_t mPartitionedBelow = 0;
  int mLossPercent = 0;
  std::string mViolation;
};

}  // namespace papayawheel
