#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/audit/audit_trail.h"
#include "core/membership/control_engine.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "servers/host_state.h"

namespace papayawheel {

/** The control thread of an entry host: keeps the configuration and the state
 * of the other hosts up to date, and handles requests that concern the host
 * itself. */
class ControlWorker {
 public:
  /** @param aPlatformAddress address of the platform's configuration service,
   * as IP number and port. */
  ControlWorker(HostState& aState, const ControlSettings& aSettings,
                std::string aPlatformAddress);
  ControlWorker(const ControlWorker&) = delete;
  ControlWorker& operator=(const ControlWorker&) = delete;

  void Run();
  void Stop() { mContext.stop(); }

  /** Handles a request for the host itself. May be called from any thread.
   * @param aReplyContext I/O context on which the answer is sent. */
  void HandleRequest(const HttpExchangePtr& aExchange,
                     asio::io_context& aReplyContext);

  /** Sends crash reports to all other hosts. May be called from any thread. */
  void BroadcastCrashReports(std::vector<CrashReport> aReports);

  /** Starts or ends draining: while the host drains, callers are not directed
   * to it. The other hosts are informed at once. May be called from any thread.
   * @param aCause reason for the audit trail. */
  void SetDraining(bool aDraining, const std::string& aCause);

 private:
  friend class ControlApi;

  void OnTick();
  void Perform(const ControlActions& aActions);
  void ReadPlatform(const ReadPlatformAction& aAction);
  void SendHeartbeat(const SendHeartbeatAction& aAction);
  void Pull(const PullAction& aAction);
  void Push(const PushAction& aAction);
  /** Invalidates the configuration view if the time since the previous event
   * shows that the process was suspended. */
  void CheckForSuspension(TimePoint aNow);
  /** Applies a new configuration and readiness to the call engine, and records
   * quarantine events in the audit trail and the log. */
  void PublishChanges();
  void LogAudit();
  /** Returns the heartbeat that describes this host now. */
  [[nodiscard]] Heartbeat OwnHeartbeat();
  [[nodiscard]] TimePoint Now() const { return mState.TimeSource().Now(); }

  HostState& mState;
  ControlSettings mSettings;
  std::string mPlatformAddress;
  asio::io_context mContext;
  HttpClient mClient;
  asio::steady_timer mTimer;
  AuditTrail mAudit;
  ControlEngine mEngine;
  TimePoint mStartedAt;
  TimePoint mLastTick;
  /** Revision of the configuration that the call engine has. */
  std::uint64_t mAppliedRevision = 0;
  /** Sequence number of the last audit entry that was logged. */
  std::uint64_t mLastLoggedSequence = 0;
};

}  // namespace papayawheel
