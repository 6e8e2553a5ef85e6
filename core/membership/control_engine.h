#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/audit/audit_trail.h"
#include "core/base/clock.h"
#include "core/config/config_store.h"
#include "core/membership/control_budget.h"
#include "core/membership/heartbeat.h"
#include "core/membership/membership_view.h"

namespace papayawheel {

/** Ask the platform for what changed; it answers at once if its revision is
 * above mNewerThan, otherwise it waits. */
struct ReadPlatformAction {
  std::uint64_t mBase = 0;
  std::uint64_t mNewerThan = 0;
  std::chrono::milliseconds mWait{0};
};

/** Exchange heartbeats with the process at an address. The host's name is
 * empty when only the address is known, from the settings. */
struct SendHeartbeatAction {
  std::string mHost;
  std::string mAddress;
};

/** Ask another host for the configuration that it has in force. */
struct PullAction {
  std::string mAddress;
  std::uint64_t mBase = 0;
};

/** Send the configuration in force to another host. */
struct PushAction {
  std::string mAddress;
  std::uint64_t mBase = 0;
};

using ControlAction = std::variant<ReadPlatformAction, SendHeartbeatAction,
                                   PullAction, PushAction>;
using ControlActions = std::vector<ControlAction>;

/** How an exchange of heartbeats failed. */
enum class HeartbeatFailure {
  /** The connection was refused: no process serves the address. */
  Refused,
  /** Anything else; it proves nothing. */
  NoAnswer,
};

/** Settings of one host's control part. */
struct ControlSettings {
  std::string mName;
  std::string mDataCentre;
  std::string mAddress;
  /** Addresses of other hosts to ask at the start. */
  std::vector<std::string> mPeers;
  /** Bytes per second that control may send and receive. */
  double mBytesPerSecond = 29'000;
  std::uint32_t mSeed = 1;
};

/** Decides what one host says to the platform and to other hosts so that a
 * published configuration is soon in force everywhere. It takes events, each
 * with the time, and returns what to do; it performs no input or output. */
class ControlEngine {
 public:
  ControlEngine(ControlSettings aSettings, const Clock& aClock,
                AuditTrail& aAudit);

  /** To be called several times a second. */
  ControlActions Tick(TimePoint aNow);

  /** The platform answered; the text is in the format of WriteChanges(). */
  ControlActions PlatformAnswered(const std::string& aText, TimePoint aNow);
  void PlatformFailed(TimePoint aNow);

  /** A host answered a heartbeat that was sent at the given time. */
  ControlActions HeartbeatAnswered(const SendHeartbeatAction& aSent,
                                   const Heartbeat& aAnswer, TimePoint aSentAt,
                                   TimePoint aNow);
  void HeartbeatFailed(const SendHeartbeatAction& aSent,
                       HeartbeatFailure aFailure, TimePoint aNow);

  /** Another host sent a heartbeat. */
  ControlActions HeartbeatArrived(const Heartbeat& aHeartbeat, TimePoint aNow);

  /** Another host's configuration arrived, pulled or pushed. */
  ControlActions ConfigurationArrived(const std::string& aText,
                                      const std::string& aSource,
                                      TimePoint aNow);
  void PullFailed() { mPulling = false; }

  /** The process was frozen or has just started: what it believes is void
   * until it has heard from others. */
  void InvalidateView(TimePoint aNow);

  /** Whether the host may vouch for the configuration that it has in force. */
  [[nodiscard]] bool IsViewFresh(TimePoint aNow) const;

  /** Counts bytes that control sent and received. */
  void NoteBytes(std::size_t aBytes, TimePoint aNow);

  [[nodiscard]] const ConfigStore& Store() const { return mStore; }
  [[nodiscard]] const MembershipView& Membership() const { return mMembership; }
  [[nodiscard]] const ControlBudget& Budget() const { return mBudget; }

  /** Whether this host is one of those that watch the platform. */
  [[nodiscard]] bool IsWatcher(TimePoint aNow) const;

  /** Time between two heartbeats with the same host. */
  [[nodiscard]] Duration HeartbeatPeriod() const;

 private:
  struct Peer {
    TimePoint mNextHeartbeat;
    bool mBusy = false;
    bool mRefused = false;
    /** When the last exchange ended, well or badly. */
    std::optional<TimePoint> mLastResult;
  };

  void StartReading(TimePoint aNow, ControlActions& aActions);
  void SendHeartbeats(TimePoint aNow, ControlActions& aActions);
  void ContactConfiguredPeers(ControlActions& aActions);
  void AuditStatusChanges(TimePoint aNow);
  void RefreshPeers(TimePoint aNow);
  void Pull(const std::string& aAddress, std::uint64_t aRevision,
            ControlActions& aActions);
  ControlActions AcceptChanges(const std::string& aText,
                               const std::string& aSource, TimePoint aNow);
  void PushConfiguration(TimePoint aNow, ControlActions& aActions);
  void PushToChildren(const std::vector<std::string>& aRanked,
                      std::size_t aRank, TimePoint aNow,
                      ControlActions& aActions);
  [[nodiscard]] std::vector<std::string> HostsOf(
      const std::string& aDataCentre) const;
  [[nodiscard]] Duration Jitter(Duration aMax);

  ControlSettings mSettings;
  ConfigStore mStore;
  MembershipView mMembership;
  ControlBudget mBudget;
  AuditTrail& mAudit;
  std::minstd_rand mRandom;
  std::map<std::string, Peer> mPeers;
  std::map<std::string, HostStatus> mLastStatuses;
  bool mReading = false;
  bool mPulling = false;
  bool mContactedConfiguredPeers = false;
  bool mHeardSinceInvalidation = false;
  bool mReadSinceInvalidation = false;
  TimePoint mInvalidatedAt;
  TimePoint mNextRead;
};

}  // namespace papayawheel
