#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_pool.h"
#include "core/gateway/crash_detector.h"
#include "core/gateway/fleet_retry_budget.h"
#include "core/gateway/gateway_call.h"
#include "core/gateway/probe_budget.h"
#include "core/gateway/running_median.h"
#include "core/routes/weighted_split.h"
#include "core/routing/dispatch_queue.h"

namespace papayawheel {

/** Counts of what the engine did since the process started. */
struct GatewayCounts {
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mProbes = 0;
  std::map<ErrorKind, std::uint64_t> mErrors;
};

/** Decides what happens with each request of a published route on one host. It
 * takes events, each with the time, and returns what to do; it performs no
 * input or output. Not safe for use by several threads at once. */
class GatewayEngine {
 public:
  GatewayEngine(std::string aDataCentre, std::uint32_t aSeed);

  /** A newer view has come into force. */
  void Apply(std::shared_ptr<const RoutingView> aView, TimePoint aNow);

  /** The bound on repeats and the hosts that share it. */
  void SetRetryBudget(const RetryBudgetTerms& aTerms, std::size_t aHosts);

  /** The bound on questions for loads and the hosts that share it. */
  void SetProbeBudget(const ProbeBudgetTerms& aTerms, std::size_t aSharers,
                      TimePoint aNow);

  /** Whether the view may be acted on; while it may not, requests wait for a
   * moment. */
  GatewayActions SetViewFresh(bool aTrusted, TimePoint aNow);

  /** The host is about to stop: new requests are refused. */
  void StopAccepting() { mAccepting = false; }

  /** A request has arrived. The id must be new. */
  GatewayActions Arrive(CallId aId, const GatewayRequest& aRequest,
                        TimePoint aNow);

  /** An attempt has ended. */
  GatewayActions AttemptEnded(AttemptId aId, const AttemptReply& aReply,
                              TimePoint aNow);

  /** An endpoint told its load, or did not. */
  GatewayActions ProbeEnded(ProbeId aId, const ProbeReply& aReply,
                            TimePoint aNow);

  /** The caller has closed its connection. */
  GatewayActions CallerLeft(CallId aId, TimePoint aNow);

  /** Does what is due. */
  GatewayActions Tick(TimePoint aNow);

  /** When Tick() must be called next; nothing if there is no need. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** Another host told of a request that may crash endpoints. */
  void NoteRemoteCrash(const CrashRecord& aRecord, TimePoint aNow);

  /** What was seen here of such requests since the last call, to be told to the
   * other hosts. */
  std::vector<CrashRecord> TakeCrashes() { return mCrashes.TakeNewRecords(); }

  /** What was learnt of crashes since the last call. */
  std::vector<CrashEvent> TakeCrashEvents() { return mCrashes.TakeEvents(); }

  [[nodiscard]] const GatewayCounts& Counts() const { return mCounts; }
  /** What requests like that of a call in flight have in common. */
  [[nodiscard]] std::uint64_t FingerprintOf(CallId aCall) const {
    return mCalls.at(aCall).mFingerprint;
  }
  [[nodiscard]] std::size_t InFlight() const { return mCalls.size(); }

 private:
  struct Attempt {
    CallId mCall = 0;
    std::string mEndpoint;
    TimePoint mSentAt;
    /** How long it was expected to take, and how many times longer than usual
     * that is. */
    Duration mExpected{0};
    double mSlowdown = 1;
    /** What was published of the endpoint when the attempt began. */
    EndpointEntry mEntry{};
    /** The endpoint was published as leaving since then. */
    bool mEndpointDraining = false;
    /** The request has lost an endpoint before, or one like it has. */
    bool mIsSuspect = false;
  };

  struct Probe {
    std::string mService;
    std::string mEndpoint;
    TimePoint mSentAt;
    /** It asks whether the endpoint lives, not how loaded it is. */
    bool mIsHealthCheck = false;
  };

  /** Why a call waits for an endpoint. */
  enum class Purpose { First, Retry, Hedge };

  struct Call {
    GatewayRequest mRequest;
    /** Copied, since the view may change while the call runs. */
    Route mRoute;
    std::string mService;
    TimePoint mArrivedAt;
    TimePoint mDeadline;
    std::uint64_t mFingerprint = 0;
    /** Attempts that have not ended. */
    std::vector<AttemptId> mRunning;
    /** Endpoints that an attempt was sent to. */
    std::vector<std::string> mTried;
    /** Those of them that it is not sent to again. */
    std::vector<std::string> mAvoided;
    /** Attempts that are known not to have reached theirs. */
    std::uint32_t mUnreached = 0;
    /** An endpoint may have begun to run the request. */
    bool mMayHaveRun = false;
    /** An attempt brought no answer, so its endpoint may have ended by it. */
    bool mIsSuspect = false;
    bool mCallerLeft = false;
    bool mAwaitsFreshView = false;
    /** It waits in the queue of its service. */
    bool mQueued = false;
    Purpose mPurpose = Purpose::First;
    /** What to say if no endpoint takes the call. */
    ErrorKind mErrorIfNotSent = ErrorKind::Overloaded;
    /** The answer of a failing endpoint, given if nothing better comes. */
    std::shared_ptr<const Response> mFailureResponse;

    /** Attempts that reached an endpoint or may have. */
    [[nodiscard]] std::size_t Reached() const {
      return mTried.size() - mUnreached;
    }
  };

  struct ServiceState {
    ServiceState(const std::string& aDataCentre, std::uint32_t aSeed)
        : mPool(aDataCentre, aSeed) {}
    EndpointPool mPool;
    FleetRetryBudget mBudget;
    ProbeBudget mProbeBudget;
    /** Calls that wait until a good endpoint is found. */
    DispatchQueue mQueue{};
    /** Questions for loads that the round waits for. */
    std::vector<ProbeId> mOpenProbes;
    TimePoint mRoundEnds;
    /** Rounds of questions since a call was last sent. */
    std::uint32_t mProbeRounds = 0;
    TimePoint mNextRound;
    /** Running mean of the time between two calls sent from the queue. */
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
    /** Endpoints under suspicion are asked whether they live. */
    SuspectCheck,
  };
  struct Timer {
    TimerKind mKind = TimerKind::Deadline;
    CallId mCall = 0;
    /** For rounds. */
    std::string mService{};
    /** For questions. */
    ProbeId mProbe = 0;
  };

  [[nodiscard]] std::optional<ErrorKind> ValidateRequest(
      const GatewayRequest& aRequest, const Route* aRoute) const;
  void Admit(CallId aId, TimePoint aNow, GatewayActions& aActions);
  /** Lets a call wait until a good endpoint is found, or refuses it if that
   * would take too long. */
  void Enqueue(CallId aId, Call& aCall, Purpose aPurpose, ErrorKind aIfNotSent,
               TimePoint aNow, GatewayActions& aActions);
  void LeaveQueue(CallId aId, Call& aCall);
  /** Sends the calls whose turn it is to good endpoints, and asks endpoints for
   * their load while calls are waiting. */
  void SendQueuedCalls(const std::string& aService, TimePoint aNow,
                       GatewayActions& aActions);
  /** Where endpoints of a service tell their load, for as long as the view
   * stays; empty if nowhere. */
  [[nodiscard]] std::string_view HealthPath(const std::string& aService) const;
  void SendProbeRound(const std::string& aService, TimePoint aNow,
                      GatewayActions& aActions);
  /** The time for which a call may wait is over. */
  void HandleQueueTimeout(CallId aId, Call& aCall, TimePoint aNow,
                          GatewayActions& aActions);
  /** How long a call may wait for a good endpoint. */
  [[nodiscard]] Duration MaxWait(const Call& aCall, TimePoint aNow) const;
  /** Whether an endpoint takes requests, or will while the call may wait. */
  [[nodiscard]] bool MayFindEndpoint(const ServiceState& aService,
                                     const Call& aCall, TimePoint aNow) const;
  [[nodiscard]] Duration ExpectedWait(const ServiceState& aService,
                                      const Call& aCall) const;
  /** The best endpoint for a call that may be sent now. */
  [[nodiscard]] std::optional<EndpointPool::Choice> ChooseEndpoint(
      const ServiceState& aService, const Call& aCall, TimePoint aNow) const;
  /** Endpoints that a call should not go to. Calls that may crash endpoints
   * keep to different ones: then only those that do lose a second one. */
  [[nodiscard]] std::vector<std::string> EndpointsToAvoid(const Call& aCall,
                                                          TimePoint aNow) const;
  /** Takes a repeat from the budget if the call needs one. */
  bool TryChargeRetryBudget(ServiceState& aService, const Call& aCall,
                            TimePoint aNow);
  void NoteSend(ServiceState& aService, TimePoint aNow);
  /** Gives the best answer that there is to a call that cannot be sent. */
  void GiveUp(CallId aId, Call& aCall, ErrorKind aError,
              GatewayActions& aActions);
  void SendTo(CallId aId, Call& aCall, const EndpointPool::Choice& aChoice,
              TimePoint aNow, GatewayActions& aActions);
  void Hedge(CallId aId, TimePoint aNow, GatewayActions& aActions);
  /** Asks an endpoint for its load. */
  void SendProbe(const std::string& aService, const std::string& aEndpoint,
                 const std::string& aAddress, std::string_view aHealthPath,
                 TimePoint aNow, GatewayActions& aActions);
  /** An attempt brought no answer: its endpoint may have ended by it. */
  void AddSuspicion(Call& aCall, const Attempt& aAttempt, TimePoint aNow);
  /** The call ends unanswered: endpoints that were silent for much longer than
   * expected may have ended by it. */
  void SuspectOverdueAttempts(Call& aCall, TimePoint aNow);
  /** Asks endpoints under suspicion whether they live. */
  void SendHealthChecks(TimePoint aNow, GatewayActions& aActions);
  void EndpointAnswered(CallId aId, Call& aCall, const AttemptReply& aReply,
                        TimePoint aNow, GatewayActions& aActions);
  void RetryOrFail(CallId aId, Call& aCall, ErrorKind aError, TimePoint aNow,
                   GatewayActions& aActions);
  [[nodiscard]] bool MayRetry(const Call& aCall, TimePoint aNow) const;
  void Succeed(CallId aId, std::shared_ptr<const Response> aResponse,
               GatewayActions& aActions);
  void Fail(CallId aId, ErrorKind aError, GatewayActions& aActions);
  /** Ends a call; its running attempts are cancelled. */
  void Finish(CallId aId, GatewayActions& aActions);
  [[nodiscard]] Duration RetryAfter(const Call& aCall);
  ServiceState& ServiceOf(const std::string& aName);
  [[nodiscard]] Duration EstimatedServiceTime(const Route& aRoute) const;

  std::string mDataCentre;
  std::minstd_rand mRandom;
  std::shared_ptr<const RoutingView> mView;
  RetryBudgetTerms mBudgetTerms;
  std::size_t mHosts = 1;
  ProbeBudgetTerms mProbeTerms;
  std::size_t mProbeHosts = 1;
  bool mViewFresh = false;
  bool mAccepting = true;
  TimePoint mNow;
  WeightedSplit mSplit;
  std::map<std::string, ServiceState> mServices;
  /** By route name. */
  std::map<std::string, RunningMedian> mMedianTimes;
  CrashDetector mCrashes;
  std::unordered_map<CallId, Call> mCalls;
  std::unordered_map<AttemptId, Attempt> mAttempts;
  std::unordered_map<ProbeId, Probe> mProbes;
  std::multimap<TimePoint, Timer> mTimers;
  AttemptId mLastAttempt = 0;
  ProbeId mLastProbe = 0;
  GatewayCounts mCounts;
};

}  // namespace papayawheel
