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
#include "core/routing/request_classifier.h"
#include "core/routing/retry_budget.h"

namespace papayawheel {

/** Maximum time between two calls of CallEngine::NoteControlIteration(). After
 * a longer gap the process may have been suspended, and it serves no calls
 * until it has received updates from other hosts again. */
constexpr std::chrono::seconds kMaxControlGap{2};

/** Identity of this process. */
struct HostIdentity {
  std::string mName;
  std::string mDataCentre;
  /** Drawn at random at each start of the process. */
  std::uint64_t mIncarnation = 0;
};

/** Counters since the start of the process. */
struct CallCounts {
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mForwarded = 0;
  /** Attempts that an endpoint refused because it was full. */
  std::uint64_t mShed = 0;
  std::map<ErrorKind, std::uint64_t> mErrors;
};

/** A customer's latest error and the number of its errors so far. */
struct LastRefusal {
  ErrorKind mError = ErrorKind::BadRequest;
  std::uint64_t mCount = 0;
  TimePoint mAt;
};

/** Decides what happens with each call on one host. It takes events with their
 * time and returns the actions to perform; it does no input or output itself.
 * Not thread-safe. */
class CallEngine {
 public:
  CallEngine(HostIdentity aIdentity, TimePoint aNow,
             OutcomeTableLimits aLimits = {});

  /** Applies a new configuration. */
  void Apply(PreparedConfiguration aPrepared, TimePoint aNow);

  /** Sets whether the host may serve calls; false while it has no configuration
   * that is confirmed to be current. */
  void SetReady(bool aReady) { mReady = aReady; }
  [[nodiscard]] bool IsReady(TimePoint aNow) const;

  /** Handles a new call. The id must not be in use. */
  CallActions Arrive(CallId aId, const CallRequest& aRequest, TimePoint aNow);

  /** Handles the end of an attempt at an endpoint. */
  CallActions EndpointReplied(CallId aId, const EndpointReply& aReply,
                              TimePoint aNow);

  /** Handles the end of forwarding a call to another host. */
  CallActions HostReplied(CallId aId, const HostReply& aReply, TimePoint aNow);

  /** Handles that the caller has closed its connection. */
  CallActions CallerDisconnected(CallId aId, TimePoint aNow);

  /** Runs timers; to be called every few milliseconds. */
  CallActions Tick(TimePoint aNow);

  /** To be called by the control thread in each of its iterations. */
  void NoteControlIteration(TimePoint aNow) { mLastControlIteration = aNow; }

  /** Looks up the outcome of the request with a key that this process owns. */
  [[nodiscard]] KeyDecision FindOutcome(const std::string& aKeyText,
                                        TimePoint aNow) const;

  /** Records a crash report of another host. */
  void NoteRemoteCrash(const CrashReport& aReport, TimePoint aNow);

  /** Current quarantines, to be sent with each heartbeat: a crash report is
   * sent only once, so hosts that start later or were unreachable have missed
   * it. */
  [[nodiscard]] std::vector<Quarantine> Quarantines(TimePoint aNow) const {
    return mQuarantineTracker.Quarantines(aNow);
  }
  void NoteQuarantines(const std::vector<Quarantine>& aQuarantines,
                       TimePoint aNow);

  /** Returns the crash reports of this host since the last call of this
   * function, to be sent to the other hosts. */
  std::vector<CrashReport> TakeCrashReports();

  /** Returns log texts for quarantines that started or ended since the last
   * call of this function. */
  std::vector<std::string> TakeQuarantineEvents();

  [[nodiscard]] ShareLedger& Ledger() { return mLedger; }
  [[nodiscard]] const OutcomeTable& Outcomes() const { return mOutcomes; }
  [[nodiscard]] const CallCounts& Counts() const { return mCounts; }
  /** Number of probes of all services since the start of the process. */
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
    /** Whether this host keeps the record of the call's key. */
    bool mOwnsKey = false;
    std::optional<Grant> mGrant;
    std::string mTarget;
    TimePoint mSentAt;
    std::uint32_t mAttempts = 0;
    std::vector<std::string> mTriedEndpoints;
    std::vector<std::string> mTriedHosts;
    /** Why the call was last forwarded to another host. */
    HopReason mForwardReason = HopReason::None;
    /** An earlier attempt failed after it was sent, so the call must not be
     * reported as not run. */
    bool mMayHaveRun = false;
    /** Kind of the request, from RequestClassifier::KindOf(). */
    std::uint64_t mKind = 0;
    /** Whether it was classified as long work when it was sent. */
    bool mLong = false;
    TimePoint mArrivedAt;
  };

  /** Suspect requests with one fingerprint, which run one at a time. */
  struct SuspectGroup {
    CallId mRunning = 0;
    std::vector<CallId> mWaiting;
  };

  struct ServiceState {
    EndpointSelector mSelector;
    DispatchQueue mQueue{};
    RetryBudget mRetries{};
    RequestClassifier mClassifier{};
    /** Calls at endpoints that were classified as long work. */
    std::uint32_t mLongInFlight = 0;
    /** Moving average of the time between two answers. */
    Duration mAnswerInterval{0};
    TimePoint mLastAnswer{};
  };

  void ConfigureServices(TimePoint aNow);
  std::optional<ErrorKind> ValidateRequest(const CallRequest& aRequest,
                                           TimePoint aNow) const;
  /** Handles the request key. Returns true if the call needs no further
   * processing. */
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
  /** Handles a call that may be suspect. Returns true if it was forwarded or
   * has to wait, so that it must not be sent now. */
  bool DeferSuspect(CallId aId, Call& aCall, TimePoint aNow,
                    CallActions& aActions);
  /** If a call was the running one of its SuspectGroup, ends the group and
   * dispatches its waiting calls again. */
  void EndSuspectRun(CallId aId, std::uint64_t aFingerprint, TimePoint aNow,
                     CallActions& aActions);
  void ForwardTo(CallId aId, Call& aCall, const std::string& aHost,
                 HopReason aHop, TimePoint aNow, CallActions& aActions);
  void SendTo(CallId aId, Call& aCall, const std::string& aEndpoint,
              TimePoint aNow, CallActions& aActions);
  void Enqueue(CallId aId, Call& aCall, TimePoint aNow, CallActions& aActions);
  /** Returns a call that an endpoint refused to the queue. */
  void Requeue(CallId aId, Call& aCall, TimePoint aNow, CallActions& aActions);
  std::optional<std::string> PickFor(ServiceState& aService,
                                     const DispatchQueue::Waiting& aWaiting,
                                     bool aMustBeIdle, TimePoint aNow);
  /** Number of long calls that this host may have at endpoints of a service, so
   * that all hosts together leave slots for short work. Further long calls are
   * sent only to endpoints that are mostly idle. */
  [[nodiscard]] std::uint32_t MaxLongCalls(const ServiceState& aService) const;
  [[nodiscard]] DispatchQueue::Waiting MakeWaiting(CallId aId,
                                                   const Call& aCall,
                                                   bool aLong) const;
  void SendQueuedCalls(const std::string& aService, TimePoint aNow,
                       CallActions& aActions);
  static void NoteAnswer(ServiceState& aService, const Call& aCall,
                         TimePoint aNow);
  void RetryOrFail(CallId aId, Call& aCall, ErrorKind aError, TimePoint aNow,
                   CallActions& aActions);
  /** Ends a call with an endpoint's response, or with an error if the status
   * would tell the caller that the call was not run. */
  void AnswerWith(CallId aId, std::shared_ptr<const Response> aResponse,
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
  RemoteShareEstimator mRemoteShares;
  std::map<std::string, LastRefusal> mRefusals;
  CallCounts mCounts;
  bool mReady = false;
  /** Number of hosts that share budgets, as last passed to the services. */
  std::size_t mHostsSharing = 0;
  TimePoint mLastControlIteration;
  TimePoint mNow;
};

}  // namespace papayawheel
