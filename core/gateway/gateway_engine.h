#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_pool.h"
#include "core/endpoints/known_hosts.h"
#include "core/gateway/crash_detector.h"
#include "core/gateway/fleet_retry_budget.h"
#include "core/gateway/gateway_call.h"
#include "core/gateway/gateway_counts.h"
#include "core/gateway/hedge_controller.h"
#include "core/gateway/probe_budget.h"
#include "core/gateway/reach_tracker.h"
#include "core/gateway/route_explanation.h"
#include "core/gateway/running_median.h"
#include "core/gossip/service_reach.h"
#include "core/routes/weighted_split.h"
#include "core/routing/dispatch_queue.h"

namespace papayawheel {

/** Decides on one host how each request of a published route is dispatched,
 * retried and answered. Takes events with their time and returns actions; does
 * no input or output. Not thread-safe. */
class GatewayEngine {
 public:
  GatewayEngine(std::string aDataCentre, std::uint32_t aSeed);

  /** Applies a newer view. */
  void Apply(std::shared_ptr<const RoutingView> aView, TimePoint aNow);

  /** Sets the bound on retries.
   * @param aHosts maximum number of hosts that share it. */
  void SetRetryBudget(const RetryBudgetTerms& aTerms, std::size_t aHosts);

  /** Sets the limit on hedges, see HedgeController::SetLimit(). Without one,
   * only the retry budget bounds them. Must be called before Apply(). */
  void SetHedgeLimit(std::optional<double> aPercent) {
    mHedging.SetLimit(aPercent);
  }

  /** Sets the bound on load probes.
   * @param aHosts number of hosts that share it. */
  void SetProbeBudget(const ProbeBudgetTerms& aTerms, std::size_t aHosts,
                      TimePoint aNow);

  /** Sets the hosts that share the limits of endpoints; see ShareOfLimit(). */
  void SetLimitSharers(LimitSharers aSharers, TimePoint aNow);

  /** Sets the bound on requests to cold endpoints, and that this host has
   * started or resumed: it sends them nothing until it knows the fleet.
   * @param aSelf name of this host. */
  void StartWarmUpLimits(const WarmUpTerms& aTerms, const std::string& aSelf,
                         TimePoint aNow);

  /** Sets the hosts that share this bound.
   * @param aNames all known hosts, reachable or not, with this one. */
  void SetKnownHosts(std::vector<std::string> aNames, TimePoint aNow);

  /** Sets whether the view is recent enough to act on. While it is not,
   * requests wait for a short time and are then refused. */
  GatewayActions SetViewFresh(bool aFresh, TimePoint aNow);

  /** Sets the services for which this host must find out whether it reaches
   * them; see ServicesToCheck(). */
  GatewayActions SetServicesToCheck(std::set<std::string> aServices,
                                    TimePoint aNow);

  /** The services that this host has lost, and those to check that it reaches.
   */
  [[nodiscard]] ServiceReach Reach(TimePoint aNow) const;

  /** Refuses new requests whose deadline is after a time, since the host will
   * stop then. */
  void AcceptUntil(TimePoint aEnd) { mAcceptsUntil = aEnd; }
  /** Refuses all new requests from now on, since the host will stop. */
  void StopAccepting() { mAccepting = false; }
  /** Ends all calls, since the host stops now. */
  GatewayActions EndAllCalls(TimePoint aNow);

  /** A request has arrived.
   * @param aId must be new. */
  GatewayActions Arrive(CallId aId, const GatewayRequest& aRequest,
                        TimePoint aNow);

  /** Tells what would become of a request that arrives now, without sending
   * it or changing any state. */
  [[nodiscard]] RouteExplanation Explain(const GatewayRequest& aRequest,
                                         TimePoint aNow) const;

  /** An attempt has ended. */
  GatewayActions AttemptEnded(AttemptId aId, const AttemptReply& aReply,
                              TimePoint aNow);

  /** A probe was answered, failed or timed out. */
  GatewayActions ProbeEnded(ProbeId aId, const ProbeReply& aReply,
                            TimePoint aNow);

  /** The caller has closed its connection. */
  GatewayActions CallerDisconnected(CallId aId, TimePoint aNow);

  /** Handles all timers that are due. */
  GatewayActions Tick(TimePoint aNow);

  /** When Tick() must be called next; nothing if there is no need. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** A crash record arrived from another host. */
  void NoteRemoteCrash(const CrashRecord& aRecord, TimePoint aNow);

  /** Crash records made here since the last call, to send to other hosts. */
  std::vector<CrashRecord> TakeCrashes() {
    return mCrashDetector.TakeNewRecords();
  }

  /** Crash events since the last call, for logs. */
  std::vector<CrashEvent> TakeCrashEvents() {
    return mCrashDetector.TakeEvents();
  }

  /** Hedges under a limit since the last call, for logs. */
  std::vector<HedgeEvent> TakeHedgeEvents() { return mHedging.TakeEvents(); }

  [[nodiscard]] const HedgeCounts& CountsOfHedges() const {
    return mHedging.Counts();
  }
  [[nodiscard]] const GatewayCounts& Counts() const { return mCounts; }
  /** Fingerprint of a call in flight; see CrashRecord::mFingerprint. */
  [[nodiscard]] std::uint64_t FingerprintOf(CallId aCall) const {
    return mCalls.at(aCall).mFingerprint;
  }
  /** Endpoints that count as cold, of the services that limit the requests to
   * them. */
  [[nodiscard]] std::map<std::string, std::set<std::string>> ColdEndpoints(
      TimePoint aNow) const;
  [[nodiscard]] std::size_t InFlight() const { return mCalls.size(); }

 private:
  struct Attempt {
    CallId mCall = 0;
    std::string mEndpoint;
    TimePoint mSentAt;
    /** Expected time of the attempt, and the factor by which load makes it
     * longer than on an idle endpoint. */
    Duration mExpected{0};
    double mSlowdown = 1;
    /** The published entry of the endpoint when the attempt started. */
    EndpointEntry mEntry{};
    /** The endpoint has been published as draining since then. */
    bool mEndpointDraining = false;
    /** The request, or one with the same fingerprint, has lost an attempt or
     * crashed an endpoint before. */
    bool mIsSuspect = false;
  };

  struct Probe {
    std::string mService;
    std::string mEndpoint;
    TimePoint mSentAt;
    /** A health check of a suspect endpoint, not a load probe. */
    bool mIsHealthCheck = false;
    /** The call and its attempt for which a hedge looks for an idle endpoint;
     * 0 if there is none. */
    CallId mHedgedCall = 0;
    AttemptId mHedgedAttempt = 0;
  };

  /** What the next attempt of a queued call is. */
  enum class Purpose { First, Retry, Hedge };

  struct Call {
    GatewayRequest mRequest;
    /** A copy, since the view may change during the call. */
    Route mRoute;
    std::string mService;
    TimePoint mArrivedAt;
    TimePoint mDeadline;
    std::uint64_t mFingerprint = 0;
    /** Attempts that have not ended. */
    std::vector<AttemptId> mRunning;
    /** Endpoints that attempts were sent to, in order. */
    std::vector<std::string> mTried;
    /** Those of them that the call is not sent to again. */
    std::vector<std::string> mAvoided;
    /** Attempts that are known not to have reached an endpoint. */
    std::uint32_t mUnreached = 0;
    /** An endpoint may have started to run the request. */
    bool mMayHaveRun = false;
    /** An attempt was lost, so the request may have crashed the endpoint. */
    bool mIsSuspect = false;
    bool mCallerDisconnected = false;
    bool mAwaitsFreshView = false;
    /** The call waits in the queue of its service. */
    bool mQueued = false;
    Purpose mPurpose = Purpose::First;
    /** Error to return if the queued attempt cannot be sent. */
    ErrorKind mErrorIfNotSent = ErrorKind::Overloaded;
    /** The hedge under a limit; 0 if there is none. */
    AttemptId mHedge = 0;
    /** Probes that look for an idle endpoint for it. */
    std::size_t mHedgeProbes = 0;
    /** An endpoint's answer was returned. */
    bool mIsAnswered = false;
    /** Error answer of an endpoint, returned if no later attempt succeeds. */
    std::shared_ptr<const Response> mFailureResponse;
    /** Status of the last refusal whose endpoint did not state that the request
     * was not run; 0 if there is none. It is never returned. */
    int mUnconfirmedStatus = 0;

    /** Number of attempts that reached an endpoint or may have. */
    [[nodiscard]] std::size_t Reached() const {
      return mTried.size() - mUnreached;
    }
  };

  struct ServiceState {
    ServiceState(const std::string& aDataCentre, std::uint32_t aSeed,
                 TimePoint aNow)
        : mPool(aDataCentre, aSeed), mReach(aNow) {}
    EndpointPool mPool;
    ReachTracker mReach;
    /** Timer::mKind ReachCheck is set for this time. */
    std::optional<TimePoint> mReachTimer{};
    FleetRetryBudget mBudget;
    ProbeBudget mProbeBudget;
    /** Calls that wait for an endpoint with a low load. */
    DispatchQueue mQueue{};
    /** Probes of the current round that have not been answered. */
    std::vector<ProbeId> mOpenProbes;
    TimePoint mRoundEnds;
    /** Probe rounds since a call was last sent. */
    std::uint32_t mProbeRounds = 0;
    TimePoint mNextRound;
    /** Moving average of the time between two calls sent from the queue. */
    Duration mSendInterval{0};
    TimePoint mLastSend;
  };

  enum class TimerKind {
    Deadline,
    Hedge,
    ViewWaitTimeout,
    QueueTimeout,
    ProbeRound,
    ProbeTimeout,
    /** Health checks of suspect endpoints are due. */
    SuspectCheck,
    /** Probes are due that show whether a service is lost. */
    ReachCheck,
  };
  struct Timer {
    TimerKind mKind = TimerKind::Deadline;
    CallId mCall = 0;
    /** For ProbeRound and ReachCheck. */
    std::string mService{};
    /** For ProbeTimeout. */
    ProbeId mProbe = 0;
    /** For Hedge. */
    AttemptId mAttempt = 0;
  };

  /** Returns the error if a request must be refused on arrival.
   * @param aRoute its route; null if there is none. */
  [[nodiscard]] std::optional<ErrorKind> ValidateRequest(
      const GatewayRequest& aRequest, const Route* aRoute,
      TimePoint aNow) const;
  /** The route of a request; null if there is none. */
  [[nodiscard]] const Route* FindRoute(const GatewayRequest& aRequest) const;
  /** A call for a new request. */
  static Call MakeCall(const GatewayRequest& aRequest, const Route& aRoute,
                       const std::string& aService, TimePoint aNow);
  void Admit(CallId aId, TimePoint aNow, GatewayActions& aActions);
  /** Queues a call for its next attempt, or ends it if no endpoint is expected
   * to take it in time. */
  void Enqueue(CallId aId, Call& aCall, Purpose aPurpose,
               ErrorKind aErrorIfNotSent, TimePoint aNow,
               GatewayActions& aActions);
  void LeaveQueue(CallId aId, Call& aCall);
  /** Refuses the queued calls of a service. */
  void RefuseQueuedCalls(ServiceState& aService, GatewayActions& aActions);
  /** Returns the error if a call cannot be queued for its next attempt. */
  [[nodiscard]] std::optional<ErrorKind> RefusalOf(const ServiceState& aService,
                                                   const Call& aCall,
                                                   TimePoint aNow) const;
  /** What would become of a new call.
   * @param aChoice the best endpoint for it, if any. */
  [[nodiscard]] ExplainedOutcome OutcomeOf(
      const ServiceState& aService, const Call& aCall,
      const std::optional<EndpointPool::Choice>& aChoice, TimePoint aNow) const;
  /** Number of queued calls that go before a call. */
  [[nodiscard]] static std::size_t CallsAhead(const ServiceState& aService,
                                              const Call& aCall);
  /** Whether the estimate for an endpoint need not be confirmed by a probe.
   * Without a health path or probe budget no fresh load sample can be had, and
   * the estimate is used as it is. */
  [[nodiscard]] bool IsLoadKnown(const ServiceState& aService,
                                 const Call& aCall,
                                 const EndpointPool::Choice& aChoice,
                                 TimePoint aNow) const;
  /** Whether a queued call is sent to an endpoint without more waiting. */
  [[nodiscard]] static bool IsFastEnough(const EndpointPool::Choice& aChoice);
  /** Sends queued calls, in order, for as long as an endpoint with a low load
   * is found. Starts a probe round if calls remain in the queue. */
  void SendQueuedCalls(const std::string& aService, TimePoint aNow,
                       GatewayActions& aActions);
  /** Whether the best endpoint for a call is busy or slowed, and a probe may
   * still find one that is not. */
  [[nodiscard]] bool MayFindReadyEndpoint(const ServiceState& aService,
                                          const Call& aCall,
                                          const EndpointPool::Choice& aChoice,
                                          TimePoint aNow) const;
  /** Path of the load report of a service's endpoints; empty if there is none.
   * Valid until the next Apply(). */
  [[nodiscard]] std::string_view HealthPath(const std::string& aService) const;
  /** Notes whether an endpoint answered. Refuses the waiting calls of a service
   * that is lost by that. */
  void NoteReach(const std::string& aService, const std::string& aEndpoint,
                 bool aAnswered, TimePoint aNow, GatewayActions& aActions);
  /** Sends the probes that show whether a service is lost, if they are due. */
  void SendReachChecks(const std::string& aService, TimePoint aNow,
                       GatewayActions& aActions);
  /** Whether no endpoint of a service answers. Without a path for probes that
   * is not known, as only calls can show that it has ended. */
  [[nodiscard]] bool IsLost(const std::string& aService,
                            const ServiceState& aState) const;
  void SendProbeRound(const std::string& aService, TimePoint aNow,
                      GatewayActions& aActions);
  /** The time of a call in the queue is over: sends it to an endpoint with a
   * free slot that is expected to answer before the deadline, or gives up.
   * Hedges are not sent. */
  void HandleQueueTimeout(CallId aId, Call& aCall, TimePoint aNow,
                          GatewayActions& aActions);
  /** Maximum time of a call in the queue. */
  [[nodiscard]] Duration MaxWait(const Call& aCall, TimePoint aNow) const;
  /** Whether an endpoint accepts requests, or will within MaxWait(). */
  [[nodiscard]] bool MayFindEndpoint(const ServiceState& aService,
                                     const Call& aCall, TimePoint aNow) const;
  /** Expected time in the queue behind the calls that go first. */
  [[nodiscard]] Duration ExpectedWait(const ServiceState& aService,
                                      const Call& aCall) const;
  /** The best endpoint for a call; nothing if none accepts requests. */
  [[nodiscard]] std::optional<EndpointPool::Choice> ChooseEndpoint(
      const ServiceState& aService, const Call& aCall, TimePoint aNow) const;
  /** Endpoints that a call should not be sent to. Suspect calls are kept on
   * different endpoints, so that only a call that does crash endpoints
   * loses a second endpoint. */
  [[nodiscard]] std::vector<std::string> EndpointsToAvoid(const Call& aCall,
                                                          TimePoint aNow) const;
  /** Takes a retry from the budget unless the call has not reached an endpoint
   * yet. Returns false if the budget is exhausted. */
  bool TryChargeRetryBudget(ServiceState& aService, const Call& aCall,
                            TimePoint aNow);
  void NoteSend(ServiceState& aService, TimePoint aNow);
  /** Ends a call that cannot be sent again, with an error answer of an endpoint
   * if there is one. Does nothing while another attempt is running. */
  void GiveUp(CallId aId, Call& aCall, ErrorKind aError,
              GatewayActions& aActions);
  void SendTo(CallId aId, Call& aCall, const EndpointPool::Choice& aChoice,
              TimePoint aNow, GatewayActions& aActions);
  /** Sets the timer for the hedge of an attempt, if it may be hedged. */
  void ScheduleHedge(CallId aId, const Call& aCall, AttemptId aAttempt,
                     Duration aExpected, TimePoint aNow);
  /** Sends or queues a second, parallel attempt if the call is still
   * unanswered. */
  void Hedge(CallId aId, AttemptId aAttempt, TimePoint aNow,
             GatewayActions& aActions);
  /** The state of a call for DecideHedge(), without an endpoint. */
  [[nodiscard]] HedgeSituation SituationOf(const Call& aCall,
                                           AttemptId aAttempt, TimePoint aNow);
  /** Sends a hedge under the limit, looks for an idle endpoint, or does
   * nothing.
   * @param aKnown applies if no endpoint is known to be idle. */
  void TryLimitedHedge(CallId aId, Call& aCall, AttemptId aAttempt,
                       IdleEndpoint aKnown, TimePoint aNow,
                       GatewayActions& aActions);
  void SendHedge(CallId aId, Call& aCall, const EndpointPool::Choice& aChoice,
                 TimePoint aNow, GatewayActions& aActions);
  void SendHedgeProbes(CallId aId, Call& aCall, AttemptId aAttempt,
                       TimePoint aNow, GatewayActions& aActions);
  /** Decides on the hedge, if any, that waits for a probe. */
  void HedgeProbeEnded(const Probe& aProbe, TimePoint aNow,
                       GatewayActions& aActions);
  /** Records latency and work of an attempt that has ended. */
  void NoteHedgeOutcome(const Call& aCall, AttemptId aId,
                        const Attempt& aAttempt, AttemptResult aResult,
                        bool aFailed, TimePoint aNow);
  /** The same, for one that is cancelled as its call ends. */
  void NoteCancelled(const Call& aCall, AttemptId aId, const Attempt& aAttempt);
  void SendProbe(const std::string& aService, const std::string& aEndpoint,
                 const std::string& aAddress, std::string_view aHealthPath,
                 TimePoint aNow, GatewayActions& aActions);
  /** An attempt was lost: marks its request as suspect, unless the endpoint was
   * draining. */
  void AddSuspicion(Call& aCall, const Attempt& aAttempt, TimePoint aNow);
  /** The call ends unanswered: handles attempts that took much longer than
   * expected as lost, since their endpoints may have crashed. */
  void SuspectOverdueAttempts(Call& aCall, TimePoint aNow);
  /** Sends the health checks of suspect endpoints that are due. */
  void SendHealthChecks(TimePoint aNow, GatewayActions& aActions);
  /** Updates the median service time of a route after an answer.
   * @param aInitial the median before the first answer. */
  void NoteServiceTime(const Route& aRoute, const Attempt& aAttempt,
                       Duration aInitial, TimePoint aNow);
  /** An attempt of a call has ended: answers the caller, retries, or waits for
   * another attempt. May end the call. */
  void ContinueCall(Call& aCall, const Attempt& aAttempt,
                    const AttemptReply& aReply, TimePoint aNow,
                    GatewayActions& aActions);
  /** Lets a call that was not run be sent to the same endpoints again if there
   * is no other one. */
  void AllowOnlyEndpoint(Call& aCall, TimePoint aNow);
  void EndpointAnswered(CallId aId, Call& aCall, const AttemptReply& aReply,
                        TimePoint aNow, GatewayActions& aActions);
  void RetryOrFail(CallId aId, Call& aCall, ErrorKind aError, TimePoint aNow,
                   GatewayActions& aActions);
  [[nodiscard]] bool MayRetry(const Call& aCall, TimePoint aNow) const;
  /** Ends a call that has no answer in time: with an unknown outcome if an
   * endpoint may have run it. */
  void EndUnanswered(CallId aId, Call& aCall, ErrorKind aIfNotRun,
                     GatewayActions& aActions);
  void Succeed(CallId aId, std::shared_ptr<const Response> aResponse,
               GatewayActions& aActions);
  void Fail(CallId aId, ErrorKind aError, GatewayActions& aActions);
  /** Ends a call and cancels its running attempts. */
  void Finish(CallId aId, GatewayActions& aActions);
  /** When a refused caller should retry. */
  [[nodiscard]] Duration RetryAfter(const Call& aCall);
  ServiceState& ServiceOf(const std::string& aName);
  [[nodiscard]] EndpointPool::WarmUpRules WarmUpRulesOf(
      const std::string& aService) const;
  /** Passes the known hosts on to all services. */
  void ShareWarmUp(TimePoint aNow);
  /** Median time of a request of a route on an idle endpoint; a fraction of the
   * target latency before the first answer. */
  [[nodiscard]] Duration EstimatedServiceTime(const Route& aRoute) const;

  std::string mDataCentre;
  std::minstd_rand mRandom;
  std::shared_ptr<const RoutingView> mView;
  RetryBudgetTerms mBudgetTerms;
  std::size_t mHosts = 1;
  ProbeBudgetTerms mProbeTerms;
  std::size_t mProbeHosts = 1;
  LimitSharers mLimitSharers;
  WarmUpTerms mWarmUpTerms;
  KnownHosts mKnownHosts;
  std::set<std::string> mServicesToCheck;
  bool mViewFresh = false;
  bool mAccepting = true;
  TimePoint mAcceptsUntil = TimePoint::max();
  TimePoint mNow;
  WeightedSplit mSplit;
  std::map<std::string, ServiceState> mServices;
  /** Median service times, by route name. */
  std::map<std::string, RunningMedian> mMedianTimes;
  CrashDetector mCrashDetector;
  std::unordered_map<CallId, Call> mCalls;
  std::unordered_map<AttemptId, Attempt> mAttempts;
  std::unordered_map<ProbeId, Probe> mProbes;
  std::multimap<TimePoint, Timer> mTimers;
  AttemptId mLastAttempt = 0;
  ProbeId mLastProbe = 0;
  HedgeController mHedging;
  GatewayCounts mCounts;
};

}  // namespace papayawheel
