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

/** The control thread: keeps the configuration and the view of the other hosts
 * and answers requests that concern the host itself. */
class ControlWorker {
 public:
  /** @param aPlatformAddress address of the platform's service. */
  ControlWorker(HostState& aState, const ControlSettings& aSettings,
                std::string aPlatformAddress);
  ControlWorker(const ControlWorker&) = delete;
  ControlWorker& operator=(const ControlWorker&) = delete;

  void Run();
  void Stop() { mContext.stop(); }

  /** Answers a request for the host itself; callable from any thread. The
   * answer is sent from the context that is given. */
  void HandleRequest(const HttpExchangePtr& aExchange,
                     asio::io_context& aReplyContext);

  /** Tells the other hosts about crashes; callable from any thread. */
  void BroadcastCrashReports(std::vector<CrashReport> aReports);

  /** Leaves or rejoins the answers about which host to use, and tells the
   * other hosts at once; callable from any thread. */
  void SetDraining(bool aDraining, const std::string& aCause);

 private:
  friend class ControlApi;

  void OnTick();
  void Perform(const ControlActions& aActions);
  void ReadPlatform(const ReadPlatformAction& aAction);
  void SendHeartbeat(const SendHeartbeatAction& aAction);
  void Pull(const PullAction& aAction);
  void Push(const PushAction& aAction);
  void CheckForSuspension(TimePoint aNow);
  /** Passes on what changed to the engine, the audit trail and the log. */
  void PublishChanges();
  void LogAudit();
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
  std::uint64_t mAppliedRevision = 0;
  std::uint64_t mLastLoggedSequence = 0;
};

}  // namespace papayawheel
