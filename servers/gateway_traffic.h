#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/gateway_engine.h"
#include "core/gossip/front_directory.h"
#include "core/gossip/gossip_message.h"
#include "core/gossip/load_meter.h"
#include "drivers/endpoint_client.h"
#include "drivers/http_server.h"
#include "servers/connection_calls.h"
#include "servers/gateway_settings.h"

namespace papayawheel {

/** What traffic tells control; called on the traffic thread. */
struct TrafficHooks {
  /** The host is about to stop. */
  std::function<void()> mDraining;
  std::function<void(std::vector<CrashRecord>)> mCrashesDetected;
  /** The process was suspended. */
  std::function<void()> mSuspended;
  /** What callers make this host carry. */
  std::function<void(const HostLoad&)> mLoadMeasured;
  /** The last request has ended after Drain(). */
  std::function<void()> mDone;
};

/** The traffic part of a gateway, on a thread of its own: it takes requests of
 * callers, sends them to endpoints and says where callers should connect. */
class GatewayTraffic {
 public:
  GatewayTraffic(const GatewaySettings& aSettings, const Clock& aClock,
                 TrafficHooks aHooks);
  GatewayTraffic(const GatewayTraffic&) = delete;
  GatewayTraffic& operator=(const GatewayTraffic&) = delete;

  /** Opens the sockets. False when an address cannot be used; LastError() says
   * why. */
  bool Start();
  /** Runs until Stop(). */
  void Run();

  // The following may be called from any thread.
  void Stop();
  void SetView(std::shared_ptr<const RoutingView> aView);
  void SetViewFreshness(bool aIsFresh);
  void SetMembers(std::vector<MemberRecord> aReachable, std::size_t aKnown);
  void NoteCrash(const CrashRecord& aCrash);
  /** Serves what is left and then calls the hook. */
  void Drain();
  [[nodiscard]] std::string RenderMetrics();

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  struct Exchange {
    HttpExchangePtr mHttp;
    std::string mRequestId;
    TimePoint mArrivedAt;
  };

  /** Requests to endpoints under way, by what they were sent for. */
  using Requests = std::unordered_map<std::uint64_t, EndpointClient::Id>;

  bool OpenServers();
  void HandleRequest(const HttpExchangePtr& aExchange);
  void AnswerDirectory(const HttpExchangePtr& aExchange);
  void AnswerReadiness(const HttpExchangePtr& aExchange);
  void CallerClosed(std::uint64_t aConnection);
  void Act(const GatewayActions& aActions);
  void Cancel(Requests& aRequests, std::uint64_t aId);
  void Answer(const GatewayAnswer& aAnswer);
  void LogAnswer(const Exchange& aExchange, const GatewayAnswer& aAnswer,
                 const HttpReply& aReply) const;
  void StartSending(const StartAttempt& aStart);
  void Probe(const StartProbe& aProbe);
  /** Logs what an endpoint asked for. */
  static void LogNotice(const std::string& aEndpoint,
                        const EndpointNotice& aNotice);
  /** Logs what was learnt of requests that crash endpoints. */
  void LogCrashEvents();
  void AttemptEnded(const StartAttempt& aStart, const EndpointAnswer& aAnswer);
  void RunIteration();
  void ScheduleIteration();
  /** Takes the turn that the timer is set for. */
  void AwaitIteration();
  void CheckForSuspension();
  void CheckDone();
  /** Whether no request runs and no answer is still being written. */
  [[nodiscard]] bool IsIdle() const;
  /** Measures what callers make this host carry, from time to time. */
  void MeasureLoad(TimePoint aNow);
  void EvictRemovedEndpoints(const EndpointMap& aNow);
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
  std::unordered_map<CallId, Exchange> mExchanges;
  ConnectionCalls mByConnection;
  /** By attempt, and by question for a load. */
  Requests mAttemptRequests;
  Requests mProbeRequests;
  /** How often each step towards the proof of a crash was taken. */
  std::map<CrashEvent::Step, std::uint64_t> mCrashSteps;
  CallId mLastCall = 0;
  bool mDraining = false;
  bool mDone = false;
  TimePoint mDrainingSince;
  /** When the last request or answer was under way after Drain(). */
  TimePoint mBusyAt;
  TimePoint mLastIteration;
  LoadMeter mLoadMeter;
  std::string mLastError;
};

}  // namespace papayawheel
