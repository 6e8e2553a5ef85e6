#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/error_kind.h"
#include "core/config/configuration.h"
#include "core/entry/call.h"
#include "core/limits/remote_share_estimator.h"
#include "core/limits/share_ledger.h"
#include "core/outcome/outcome_table.h"
#include "core/routing/dispatch_queue.h"
#include "core/routing/endpoint_selector.h"
#include "core/routing/quarantine_tracker.h"
#include "core/routing/retry_budget.h"
#include "core/routing/route_classifier.h"

namespace papayawheel {

/** A host that has not looked at its clock for this long may have been frozen;
 * it serves nothing until it has heard from others again. */
constexpr std::chrono::seconds kMaxControlGap{2};

/** Who this process is. */
struct HostIdentity {
  std::string mName;
  std::string mDataCentre;
  /** Drawn at the start of the process. */
  std::uint64_t mIncarnation = 0;
};

/** Counts of what the engine did since the process started. */
struct CallCounts {
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mForwarded = 0;
  /** Calls that an endpoint refused because it was full. */
  std::uint64_t mShed = 0;
  std::map<ErrorKind, std::uint64_t> mErrors;
};

/** Why a customer's latest call was refused. */
struct LastRefusal {
  ErrorKind mError = ErrorKind::BadRequest;
  std::uint64_t mCount = 0;
  TimePoint mAt;
};

/** Decides what happens with each call on one host. It takes events, each with
 * the time, and returns what to do; it performs no input or output. Not safe
 * for use by several threads at once. */
class CallEngine {
 public:
  CallEngine(HostIdentity aIdentity, TimePoint aNow,
             OutcomeTableLimits aLimits = {});

  /** A configuration has come into force. */
  void Apply(PreparedConfiguration aPrepared, TimePoint aNow);

  /** Whether the host may serve calls; false while it has no configuration
   * that it can vouch for. */
  void SetReady(bool aReady) { mReady = aReady; }
  [[nodiscard]] bool IsReady(TimePoint aNow) const;

  /** A call has arrived. The id must be new. */
  CallActions Arrive(CallId aId, const CallRequest& aRequest, TimePoint aNow);

  /** An attempt at an endpoint has ended. */
  CallActions EndpointReplied(CallId aId, const EndpointReply& aReply,
                              TimePoint aNow);

  /** Passing a call to another host has ended. */
  CallActions HostReplied(CallId aId, const HostReply& aReply, TimePoint aNow);

  /** The caller has closed its connection. */
  CallActions CallerDisconnected(CallId aId, TimePoint aNow);

  /** To be called every few milliseconds. */
  CallActions Tick(TimePoint aNow);

  /** To be called by the control thread at each of its turns. */
  void NoteControlAlive(TimePoint aNow) { mControlAliveAt = aNow; }

  /** What became of the request with a key that this process owns. */
  [[nodiscard]] KeyDecision FindOutcome(const std::string& aKeyText,
                                        TimePoint aNow) const;

  /** Another host saw an endpoint crash or a suspect answered. */
  void NoteRemoteCrash(const CrashReport& aReport, TimePoint aNow);

  /** Requests that are quarantined, for each heartbeat: a report is told once,
   * and hosts that start or were cut off have not heard it. */
  [[nodiscard]] std::vector<Quarantine> Quarantines(TimePoint aNow) const {
    return mQuarantineTracker.Quarantines(aNow);
  }
  void NoteQuarantines(const std::vector<Quarantine>& aQuarantines,
                       TimePoint aNow);

  /** Crashes seen here since the last call, to be told to the other hosts. */
  std::vector<CrashReport> TakeCrashReports();

  /** Quarantines that started or ended since the last call, as sentences. */
  std::vector<std::string> TakeQuarantineEvents();

  [[nodiscard]] ShareLedger& Ledger() { return mLedger; }
  [[nodiscard]] const OutcomeTable& Outcomes() const { return mOutcomes; }
  [[nodiscard]] const CallCounts& Counts() const { return mCounts; }
  /** Probes of all services since the process started. */
  [[nodiscard]] std::uint64_t Probes() const;
  [[nodiscard]] std::size_t InFlight() const { return mCalls.size(); }
  [[nodiscard]] const std::map<std::string, LastRefusal>& Refusals() const {
    return mRefusals;
  }

 private:
  enum class CallState { Waiting, AtEndpoint, AtHost };

  struct Call {
    CallRequest mRequest;
    CallState mState = CallState::Waiting;
    TimePoint mDeadline;
    std::uint64_t mFingerprint = 0;
    std::uint32_t mPriority = 0;
    bool mIdempotent = false;
    /** Whether the key record of this call is kept here. */
    bool mOwnsKey = false;
    std::optional<Grant> mGrant;
    std::string mTarget;
    TimePoint mSentAt;
    std::uint32_t mAttempts = 0;
    std::vector<std::string> mTriedEndpoints;
    std::vector<std::string> mTriedHosts;
    /** Why the call was last passed to another host. */
    HopReason mForwardReason = HopReason::None;
    /** An earlier attempt broke off after the send, so the call can no longer
     * be called not run. */
    bool mMayHaveRun = false;
    /** The kind of request, for RouteClassifier. */
    std::uint64_t mKind = 0;
    /** It was taken for long work when it was sent. */
    bool mLong = false;
    TimePoint mArrivedAt;
  };

  /** Requests of one suspect kind, which run one at a time. */
  struct SuspectGroup {
    CallId mRunning = 0;
    std::vector<CallId> mWaiting;
  };

  struct ServiceState {
    EndpointSelector mSelector;
    DispatchQueue mQueue{};
    RetryBudget mRetries{};
    RouteClassifier mRoutes{};
    /** Calls at endpoints that were taken for long work. */
    std::uint32_t mLongInFlight = 0;
    /** Running mean of the time between two answers. */
    Duration mAnswerInterval{0};
    TimePoint mLastAnswer{};
  };

  void ConfigureServices(TimePoint aNow);
  std::optional<ErrorKind> CheckRequest(const CallRequest& aRequest,
                                        TimePoint aNow) const;
  /** Handles the request key; true if the call is dealt with. */
  bool HandleKey(CallId aId, Call& aCall, TimePoint aNow,
                 CallActions& aActions);
  void AnswerKnownKey(CallId aId, const KeyDecision& aDecision,
                      CallActions& aActions);
  void ForwardToKeyOwner(CallId aId, Call& aCall, const RequestKey& aKey,
                         TimePoint aNow, CallActions& aActions);
  void Admit(CallId aId, Call& aCall, TimePoint aNow, CallActions& aActions);
  bool ForwardToShareHolder(CallId aId, Call& aCall, TimePoint aNow,
                            CallActions& aActions);
  void Dispatch(CallId aId, Call& aCall, TimePoint aNow, CallActions& aActions);
  /** Handles a call of a suspect kind; true if it must not be sent now. */
  bool DeferSuspect(CallId aId, Call& aCall, TimePoint aNow,
                    CallActions& aActions);
  /** Ends the trial that a call ran, if any, and lets the next one run. */
  void EndSuspectRun(CallId aId, std::uint64_t aFingerprint, TimePoint aNow,
                     CallActions& aActions);
  void ForwardTo(CallId aId, Call& aCall, const std::string& aHost,
                 HopReason aHop, TimePoint aNow, CallActions& aActions);
  void SendTo(CallId aId, Call& aCall, const std::string& aEndpoint,
              TimePoint aNow, CallActions& aActions);
  void Enqueue(CallId aId, Call& aCall, TimePoint aNow, CallActions& aActions);
  /** An endpoint refused the call; waits for another slot. */
  void Requeue(CallId aId, Call& aCall, TimePoint aNow, CallActions& aActions);
  std::optional<std::string> PickFor(ServiceState& aService,
                                     const DispatchQueue::Waiting& aWaiting,
                                     bool aMustBeIdle, TimePoint aNow);
  /** Long calls that this host may have at endpoints of a service, so that
   * all hosts together leave slots to short work. More go only to endpoints
   * that are mostly idle. */
  [[nodiscard]] std::uint32_t MaxLongCalls(const ServiceState& aService) const;
  [[nodiscard]] DispatchQueue::Waiting MakeWaiting(CallId aId,
                                                   const Call& aCall,
                                                   bool aLong) const;
  void Pump(const std::string& aService, TimePoint aNow, CallActions& aActions);
  static void NoteAnswer(ServiceState& aService, const Call& aCall,
                         TimePoint aNow);
  void RetryOrFail(CallId aId, Call& aCall, ErrorKind aError, TimePoint aNow,
                   CallActions& aActions);
  void Succeed(CallId aId, std::shared_ptr<const Response> aResponse,
               CallActions& aActions);
  void Fail(CallId aId, ErrorKind aError, Duration aRetryAfter,
            CallActions& aActions);
  void CountError(const std::string& aCustomer, ErrorKind aError);
  void NoteCrash(const Call& aCall, TimePoint aNow);
  [[nodiscard]] Duration ExpectedWait(const ServiceState& aService,
                                      const Call& aCall) const;

  HostIdentity mIdentity;
  std::shared_ptr<const Configuration> mConfiguration;
  ShareLedger mLedger;
  OutcomeTable mOutcomes;
  QuarantineTracker mQuarantineTracker;
  std::map<std::string, ServiceState> mServices;
  std::unordered_map<CallId, Call> mCalls;
  /** By fingerprint. */
  std::unordered_map<std::uint64_t, SuspectGroup> mSuspectGroups;
  std::vector<CrashReport> mCrashReports;
  std::vector<std::string> mQuarantineEvents;
  RemoteShareEstimator mShareHolders;
  std::map<std::string, LastRefusal> mRefusals;
  CallCounts mCounts;
  bool mReady = false;
  /** Hosts that share budgets, as the services were told. */
  std::size_t mHostsSharing = 0;
  TimePoint mControlAliveAt;
  TimePoint mNow;
};

}  // namespace papayawheel
