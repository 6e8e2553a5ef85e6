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
  /** Crashed endpoints do not answer at all, instead of refusing connections.
   */
  bool mCrashesSilently = false;
  /** Restarted endpoints keep their id. */
  bool mKeepsId = false;
  /** Fraction of the datagrams between hosts that are lost. */
  double mLoss = 0;
};

/** Simulates engines and gossip of several hosts on virtual time, and endpoints
 * of one service that crash on requests for kCrashingTarget. A crashed endpoint
 * restarts some seconds later; its published entry changes after a delay. */
class CrashFleet {
 public:
  static constexpr const char* kSafeHost = "read.example";
  static constexpr const char* kOnceHost = "order.example";
  static constexpr const char* kCrashingTarget = "/bad";

  CrashFleet(const CrashFleetTerms& aTerms, std::uint32_t aSeed);

  void Run(Duration aTime);
  /** Sends a request of a caller to a host. */
  void SendRequest(std::size_t aHost, const std::string& aRouteHost,
                   const std::string& aTarget);
  /** Cuts a host off from all others, or reconnects it. */
  void Isolate(std::size_t aHost, bool aIsolated);
  /** Ends the process of a host and starts another one at once. */
  void Restart(std::size_t aHost);

  /** Times at which endpoints crashed. */
  [[nodiscard]] const std::vector<TimePoint>& Crashes() const {
    return mCrashes;
  }
  /** Number of requests for kCrashingTarget that reached endpoints after a
   * time, from hosts that have been connected to the others for some seconds.
   */
  [[nodiscard]] std::size_t SentAfter(TimePoint aTime) const;
  /** Number of other requests, and of those of them that were answered. */
  [[nodiscard]] std::size_t Others() const { return mOthers; }
  [[nodiscard]] std::size_t OthersAnswered() const { return mOthersAnswered; }
  [[nodiscard]] TimePoint Now() const { return mEvents.Now(); }

 private:
  struct Host {
    std::unique_ptr<GatewayEngine> mEngine;
    std::unique_ptr<GossipEngine> mGossip;
    /** Number of the current process; events of earlier ones are ignored. */
    std::uint64_t mStarts = 0;
    bool mIsolated = false;
    /** When isolation last began or ended. */
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
                                   std::uint64_t aStarts) const {
    return mHosts[aHost].mStarts == aStarts;
  }
  void Start(std::size_t aHost);
  /** Applies the published endpoints on all hosts after a delay. */
  void Publish();
  void Act(std::size_t aHost, const GatewayActions& aActions);
  void ScheduleTick(std::size_t aHost);
  void GossipTick(std::size_t aHost);
  void Send(std::size_t aFrom, const Datagrams& aDatagrams);
  void Attempt(std::size_t aHost, const StartAttempt& aStart);
  void Probe(std::size_t aHost, const StartProbe& aProbe);
  void End(const RunningAttempt& aAttempt, AttemptResult aResult,
           EndpointLiveness aLiveness);
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
