#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/drain_schedule.h"
#include "core/gateway/gateway_engine.h"
#include "core/gossip/front_directory.h"
#include "core/gossip/gossip_message.h"
#include "core/gossip/load_meter.h"
#include "drivers/endpoint_client.h"
#include "drivers/http_server.h"
#include "servers/connection_calls.h"
#include "servers/gateway_settings.h"

namespace papayawheel {

/** Callbacks by which the traffic thread informs the control thread and main().
 * They run on the traffic thread. */
struct TrafficHooks {
  /** The host has begun to drain. */
  std::function<void()> mDraining;
  /** New crash records, to be sent to the other hosts. */
  std::function<void(std::vector<CrashRecord>)> mCrashesDetected;
  /** The process was suspended and has resumed. */
  std::function<void()> mSuspended;
  /** The load from callers was measured. */
  std::function<void(const HostLoad&)> mLoadMeasured;
  /** The services that this host has lost or reaches have changed. */
  std::function<void(const ServiceReach&)> mReachChanged;
  /** The host is drained: the process may end. */
  std::function<void()> mDone;
};

/** The traffic part of a gateway, on a thread of its own. It accepts callers'
 * requests, sends them to endpoints, and answers callers that look up the hosts
 * to connect to. */
class GatewayTraffic {
 public:
  GatewayTraffic(const GatewaySettings& aSettings, const Clock& aClock,
                 TrafficHooks aHooks);
  GatewayTraffic(const GatewayTraffic&) = delete;
  GatewayTraffic& operator=(const GatewayTraffic&) = delete;

  /** Opens the sockets. Returns false if an address cannot be used; LastError()
   * then returns the reason. */
  bool Start();
  /** Runs until Stop(). */
  void Run();

  // The following may be called from any thread.
  void Stop();
  void SetView(std::shared_ptr<const RoutingView> aView);
  void SetViewFreshness(bool aIsFresh);
  /** @param aKnown names of all known hosts, reachable or not, with this one.
   */
  void SetMembers(std::vector<MemberRecord> aReachable,
                  std::vector<std::string> aKnown);
  void NoteCrash(const CrashRecord& aCrash);
  /** Starts to drain. Calls the hook mDone when no request is left or the grace
   * period is nearly over. */
  void Drain();
  [[nodiscard]] std::string RenderMetrics();
  /** Tells what would become of a request; see GatewayEngine::Explain(). */
  [[nodiscard]] RouteExplanation Explain(const GatewayRequest& aRequest);

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  struct Exchange {
    HttpExchangePtr mHttp;
    std::string mRequestId;
    TimePoint mArrivedAt;
  };

  /** Requests to endpoints under way, by the id of their attempt or probe. */
  using Requests = std::unordered_map<std::uint64_t, EndpointClient::Id>;

  bool OpenServers();
  void HandleRequest(const HttpExchangePtr& aExchange);
  /** Reports which services this host has lost or reaches, after a change. */
  void PublishReach();
  /** Logs which endpoints have become cold or warm, at most once a second for
   * each service. */
  void LogColdEndpoints(TimePoint aNow);
  /** Logs the hosts for the callers of a data centre if they have changed. */
  void NoteSelection(const std::string& aDataCentre,
                     const std::vector<std::string>& aAddresses);
  void AnswerDirectory(const HttpExchangePtr& aExchange);
  void AnswerReadiness(const HttpExchangePtr& aExchange);
  void CallerClosed(std::uint64_t aConnection);
  void Perform(const GatewayActions& aActions);
  void Cancel(Requests& aRequests, std::uint64_t aId);
  void Answer(const GatewayAnswer& aAnswer);
  void LogAnswer(const Exchange& aExchange, const GatewayAnswer& aAnswer,
                 const HttpReply& aReply) const;
  void StartSending(const StartAttempt& aStart);
  void Probe(const StartProbe& aProbe);
  /** Logs that an endpoint drains or requests a backoff. */
  static void LogNotice(const std::string& aEndpoint,
                        const EndpointNotice& aNotice);
  /** Logs and counts the crash events since the last call. */
  void LogCrashEvents();
  /** Logs the hedges under a limit since the last call. */
  void LogHedges();
  void AttemptEnded(const StartAttempt& aStart, const EndpointAnswer& aAnswer);
  void RunIteration();
  void ScheduleIteration();
  /** Runs an iteration when the timer expires. */
  void AwaitIteration();
  /** Invalidates the view if the time since the last iteration shows that the
   * process was suspended. */
  void CheckForSuspension();
  /** Calls the hook mDone once the host is drained. */
  void CheckDone();
  /** Whether no request is in flight and all answers have been sent. */
  [[nodiscard]] bool IsIdle() const;
  /** Measures and reports the load from callers, if a measurement is due. */
  void MeasureLoad(TimePoint aNow);
  /** Applies the operator's limits on requests. */
  void ApplyRequestLimits();
  /** Closes the connections to endpoints that were removed or restarted. */
  void EvictRemovedEndpoints(const EndpointMap& aNow);
  /** Whether the host serves callers: it has routes and does not drain. */
  [[nodiscard]] bool IsReady() const;

  GatewaySettings mSettings;
  const Clock& mClock;
  TrafficHooks mHooks;
  asio::io_context mContext{1};
  asio::steady_timer mTimer{mContext};
  TimePoint mTimerDue;
  EndpointClient mClient;
  std::vector<std::unique_ptr<HttpServer>> mServers;
  GatewayEngine mEngine;
  std::shared_ptr<const RoutingView> mView;
  FrontDirectory mFronts;
  ServiceReach mReach;
  /** The selection that was last logged, by data centre. */
  std::map<std::string, std::vector<std::string>> mLoggedSelections;
  std::unordered_map<CallId, Exchange> mExchanges;
  ConnectionCalls mConnectionCalls;
  Requests mAttemptRequests;
  Requests mProbeRequests;
  /** Number of crash events by step, for the metrics. */
  std::map<CrashEvent::Step, std::uint64_t> mCrashSteps;
  CallId mLastCall = 0;
  bool mDraining = false;
  bool mDone = false;
  /** Set once the host drains. */
  std::optional<DrainSchedule> mDrainSchedule;
  bool mHasGivenUp = false;
  /** While draining: when a request or an unsent answer was last seen. */
  TimePoint mBusyAt;
  TimePoint mLastIteration;
  LoadMeter mLoadMeter;
  /** The cold endpoints that were last logged, by service. */
  std::map<std::string, std::set<std::string>> mLoggedCold;
  TimePoint mNextColdLog;
  std::string mLastError;
};

}  // namespace papayawheel
