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

/** Read the changes since revision mBase from the platform. It answers at once
 * if its revision is above mNewerThan, otherwise after at most mWait. */
struct ReadPlatformAction {
  std::uint64_t mBase = 0;
  std::uint64_t mNewerThan = 0;
  std::chrono::milliseconds mWait{0};
};

/** Exchange heartbeats with the process at an address. The host's name is empty
 * if only the address is known, from the settings. */
struct SendHeartbeatAction {
  std::string mHost;
  std::string mAddress;
};

/** Fetch the configuration in force on another host, as changes since revision
 * mBase. */
struct PullAction {
  std::string mAddress;
  std::uint64_t mBase = 0;
};

/** Send the configuration in force to another host, as changes since revision
 * mBase. */
struct PushAction {
  std::string mAddress;
  std::uint64_t mBase = 0;
};

using ControlAction = std::variant<ReadPlatformAction, SendHeartbeatAction,
                                   PullAction, PushAction>;
using ControlActions = std::vector<ControlAction>;

/** Reason why an exchange of heartbeats failed. */
enum class HeartbeatFailure {
  /** The connection was refused: no process listens at the address. */
  Refused,
  /** Any other failure; the host may still be running. */
  NoAnswer,
};

/** Settings of the control engine of one host. */
struct ControlSettings {
  std::string mName;
  std::string mDataCentre;
  std::string mAddress;
  /** Addresses of other hosts to contact at the start. */
  std::vector<std::string> mPeers;
  /** Limit of control traffic, sent and received, in bytes per second. */
  double mBytesPerSecond = 29'000;
  std::uint32_t mSeed = 1;
};

/** Distributes the published configuration and tracks which hosts are alive.
 *
 * A few hosts of each data centre watch the platform; they push a new
 * configuration to others, which push it on. Heartbeats carry the revision in
 * force, so that a host that was missed pulls the configuration. The engine
 * takes events, each with the time, and returns the actions to perform; it
 * performs no input or output. */
class ControlEngine {
 public:
  ControlEngine(ControlSettings aSettings, const Clock& aClock,
                AuditTrail& aAudit);

  /** Starts the actions that are due; must be called several times a second. */
  ControlActions Tick(TimePoint aNow);

  /** The platform answered a read.
   * @param aText changes in the format of WriteChanges(). */
  ControlActions PlatformAnswered(const std::string& aText, TimePoint aNow);
  void PlatformFailed(TimePoint aNow);

  /** A host answered a heartbeat that was sent at aSentAt. */
  ControlActions HeartbeatAnswered(const SendHeartbeatAction& aSent,
                                   const Heartbeat& aAnswer, TimePoint aSentAt,
                                   TimePoint aNow);
  void HeartbeatFailed(const SendHeartbeatAction& aSent,
                       HeartbeatFailure aFailure, TimePoint aNow);

  /** Another host sent a heartbeat. */
  ControlActions HeartbeatArrived(const Heartbeat& aHeartbeat, TimePoint aNow);

  /** A configuration from another host arrived, pulled or pushed.
   * @param aText changes in the format of WriteChanges().
   * @param aSource where it came from, for the audit trail. */
  ControlActions ConfigurationArrived(const std::string& aText,
                                      const std::string& aSource,
                                      TimePoint aNow);
  void PullFailed() { mPulling = false; }

  /** Discards what is known of other hosts, after a suspension of the process.
   * The view is not fresh again before the platform or another host answers.
   * The engine starts in the same state. */
  void InvalidateView(TimePoint aNow);

  /** Whether the configuration in force is known to be recent enough to serve
   * calls by. */
  [[nodiscard]] bool IsViewFresh(TimePoint aNow) const;

  /** Counts bytes of control traffic, sent or received. */
  void NoteBytes(std::size_t aBytes, TimePoint aNow);

  [[nodiscard]] const ConfigStore& Store() const { return mStore; }
  [[nodiscard]] const MembershipView& Membership() const { return mMembership; }
  [[nodiscard]] const ControlBudget& Budget() const { return mBudget; }

  /** Whether this host is one of those of its data centre that watch the
   * platform. */
  [[nodiscard]] bool IsWatcher(TimePoint aNow) const;

  /** Time between two heartbeats to the same host. */
  [[nodiscard]] Duration HeartbeatPeriod() const;

 private:
  struct Peer {
    TimePoint mNextHeartbeat;
    /** Whether an exchange is in progress. */
    bool mBusy = false;
    /** Whether the last connection was refused. */
    bool mRefused = false;
    /** When the last exchange ended, successfully or not. */
    std::optional<TimePoint> mLastResult;
  };

  void StartReading(TimePoint aNow, ControlActions& aActions);
  void SendHeartbeats(TimePoint aNow, ControlActions& aActions);
  /** Sends the first heartbeats to some addresses from the settings, once. */
  void ContactConfiguredPeers(ControlActions& aActions);
  /** Writes changes of other hosts' status to the audit trail. */
  void AuditStatusChanges(TimePoint aNow);
  /** Updates the peers after a change of the configured hosts. */
  void RefreshPeers(TimePoint aNow);
  /** Fetches a configuration if its revision is newer than the own one and no
   * other pull is in progress. */
  void Pull(const std::string& aAddress, std::uint64_t aRevision,
            ControlActions& aActions);
  /** Puts changes in force, if they are valid and newer, and passes them on. */
  ControlActions AcceptChanges(const std::string& aText,
                               const std::string& aSource, TimePoint aNow);
  /** Pushes the configuration in force to this host's children in the tree of
   * its data centre. All hosts compute the same order of hosts. The first two,
   * the watchers, are the roots; rank r has the children 2r + 2 and 2r + 3. */
  void PushConfiguration(TimePoint aNow, ControlActions& aActions);
  /** Pushes to the children of the host of a rank in the ordered hosts. */
  void PushToChildren(const std::vector<std::string>& aRanked,
                      std::size_t aRank, TimePoint aNow,
                      ControlActions& aActions);
  [[nodiscard]] std::vector<std::string> HostsOf(
      const std::string& aDataCentre) const;
  /** A random time from 0 to aMax. */
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
