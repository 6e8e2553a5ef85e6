#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/gateway/gateway_engine.h"
#include "core/gossip/gossip_engine.h"
#include "model/event_queue.h"

namespace papayawheel {

struct CrashFleetTerms {
  std::size_t mHosts = 6;
  std::size_t mDataCentres = 1;
  std::size_t mEndpoints = 12;
  /** Endpoints that fell vanish without a word instead of refusing. */
  bool mCrashesSilently = false;
  /** They come back under the id that they had. */
  bool mKeepsId = false;
  /** Part of the datagrams between hosts that are lost. */
  double mLoss = 0;
};

/** Engines and gossip of several hosts, and endpoints of one service which fall
 * by the requests for kCrashingTarget, on virtual time. An endpoint that fell
 * is back some seconds later; what is published of it lags. */
class CrashFleet {
 public:
  static constexpr const char* kSafeHost = "read.example";
  static constexpr const char* kOnceHost = "order.example";
  static constexpr const char* kCrashingTarget = "/bad";

  CrashFleet(const CrashFleetTerms& aTerms, std::uint32_t aSeed);

  void Run(Duration aTime);
  /** Asks a host; nothing happens if it is down. */
  void SendRequest(std::size_t aHost, const std::string& aRouteHost,
                   const std::string& aTarget);
  /** Cuts a host off from all others. */
  void Isolate(std::size_t aHost, bool aCut);
  /** Ends the process of a host and starts it anew at once. */
  void Restart(std::size_t aHost);

  /** When endpoints fell by a request for kCrashingTarget. */
  [[nodiscard]] const std::vector<TimePoint>& Crashes() const {
    return mCrashes;
  }
  /** Requests for kCrashingTarget, sent to endpoints later than a time by hosts
   * that have reached the others for some seconds. */
  [[nodiscard]] std::size_t SentAfter(TimePoint aTime) const;
  /** Requests for anything else, and those of them that were answered. */
  [[nodiscard]] std::size_t Others() const { return mOthers; }
  [[nodiscard]] std::size_t OthersAnswered() const { return mOthersAnswered; }
  [[nodiscard]] TimePoint Now() const { return mEvents.Now(); }

 private:
  struct Host {
    std::unique_ptr<GatewayEngine> mEngine;
    std::unique_ptr<GossipEngine> mGossip;
    /** Grows with each start, so that old events find nothing. */
    std::uint64_t mStarts = 0;
    bool mIsolated = false;
    /** When a cut ended. */
    TimePoint mReconnectedAt;
    std::map<CallId, std::string> mTargets;
    CallId mLastCall = 0;
    TimePoint mTickAt;
    TimePoint mGossipTickAt;
  };
  struct RunningAttempt {
    std::size_t mHost = 0;
    std::uint64_t mStarts = 0;
    AttemptId mAttempt = 0;
  };
  struct Endpoint {
    EndpointEntry mEntry;
    bool mUp = true;
    std::vector<RunningAttempt> mAttempts;
  };

  static std::size_t IndexOf(const std::string& aAddress);
  [[nodiscard]] bool IsSameProcess(std::size_t aHost,
                                   std::uint64_t aLife) const {
    return mHosts[aHost].mStarts == aLife;
  }
  void Start(std::size_t aHost);
  /** Hands what is published to all hosts. */
  void Publish();
  void Act(std::size_t aHost, const GatewayActions& aActions);
  void ScheduleTick(std::size_t aHost);
  void GossipTick(std::size_t aHost);
  void Send(std::size_t aFrom, const Datagrams& aDatagrams);
  void Attempt(std::size_t aHost, const StartAttempt& aStart);
  void Probe(std::size_t aHost, const StartProbe& aProbe);
  void End(const RunningAttempt& aRun, AttemptResult aResult,
           EndpointSight aSight);
  void Crash(std::size_t aEndpoint);
  void RestartEndpoint(std::size_t aEndpoint);

  CrashFleetTerms mTerms;
  std::mt19937 mRandom;
  model::EventQueue mEvents;
  std::vector<Host> mHosts;
  std::vector<Endpoint> mEndpoints;
  std::shared_ptr<const RouteTable> mRoutes;
  EndpointMap mPublished;
  std::int64_t mLastIncarnation = 0;
  std::vector<TimePoint> mCrashes;
  std::vector<TimePoint> mCrashingSends;
  std::size_t mOthers = 0;
  std::size_t mOthersAnswered = 0;
};

}  // namespace papayawheel
