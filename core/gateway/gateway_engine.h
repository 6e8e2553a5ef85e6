#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_pool.h"
#include "core/gateway/crash_watch.h"
#include "core/gateway/fleet_retry_budget.h"
#include "core/gateway/gateway_call.h"
#include "core/gateway/typical_time.h"
#include "core/routes/weighted_split.h"

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

  /** Whether the view may be acted on; while it may not, requests wait for a
   * moment. */
  GatewayActions SetTrusted(bool aTrusted, TimePoint aNow);

  /** The host is about to stop: new requests are refused. */
  void StopTaking() { mTaking = false; }

  /** A request has arrived. The id must be new. */
  GatewayActions Arrive(CallId aId, const GatewayRequest& aRequest,
                        TimePoint aNow);

  /** An attempt has ended. */
  GatewayActions AttemptEnded(AttemptId aId, const AttemptReply& aReply,
                              TimePoint aNow);

  /** An endpoint told its load, or did not. */
  GatewayActions ProbeEnded(ProbeId aId,
                            const std::optional<LoadSample>& aSample,
                            TimePoint aNow);

  /** The caller has closed its connection. */
  GatewayActions CallerLeft(CallId aId, TimePoint aNow);

  /** Does what is due. */
  GatewayActions Tick(TimePoint aNow);

  /** When Tick() must be called next; nothing if there is no need. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** Another host saw a request crash an endpoint. */
  void NoteRemoteCrash(const EndpointCrash& aCrash, TimePoint aNow);

  /** Crashes seen here since the last call, to be told to the other hosts. */
  std::vector<EndpointCrash> TakeCrashes() { return mCrashes.TakeNews(); }

  [[nodiscard]] const GatewayCounts& Counts() const { return mCounts; }
  [[nodiscard]] std::size_t InFlight() const { return mCalls.size(); }

 private:
  struct Attempt {
    CallId mCall = 0;
    std::string mEndpoint;
    TimePoint mSentAt;
    /** How many times longer than usual the endpoint was expected to take. */
    double mSlowdown = 1;
  };

  struct Probe {
    CallId mCall = 0;
    std::string mService;
    std::string mEndpoint;
  };

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
    /** Endpoints that an attempt reached or may have reached. */
    std::vector<std::string> mTried;
    std::uint32_t mUnreached = 0;
    /** An endpoint may have begun to run the request. */
    bool mMayHaveRun = false;
    bool mCallerLeft = false;
    bool mHeld = false;
    /** Questions that the call waits for before it is sent. */
    std::vector<ProbeId> mProbes;
    std::uint32_t mProbeRounds = 0;
    /** What to say if the call cannot be sent after its questions. */
    ErrorKind mIfNotSent = ErrorKind::Overloaded;
    /** The answer of a failing endpoint, given if nothing better comes. */
    std::shared_ptr<const Response> mFailure;
  };

  struct ServiceState {
    ServiceState(const std::string& aDataCentre, std::uint32_t aSeed)
        : mPool(aDataCentre, aSeed) {}
    EndpointPool mPool;
    FleetRetryBudget mBudget;
  };

  enum class TimerKind { Deadline, Hedge, Release, Probe };
  struct Timer {
    TimerKind mKind = TimerKind::Deadline;
    CallId mCall = 0;
  };

  [[nodiscard]] std::optional<ErrorKind> Check(const GatewayRequest& aRequest,
                                               const Route* aRoute) const;
  void Admit(CallId aId, TimePoint aNow, GatewayActions& aActions);
  /** Asks the endpoints that a call may be sent to for their load, if that is
   * worth it, and sends the call once they have told it. */
  void ProbeAndSend(CallId aId, Call& aCall, ErrorKind aIfNotSent,
                    TimePoint aNow, GatewayActions& aActions);
  /** Whether questions were sent. */
  bool StartProbes(CallId aId, Call& aCall, TimePoint aNow,
                   GatewayActions& aActions);
  void ProbesDone(CallId aId, TimePoint aNow, GatewayActions& aActions);
  /** Gives the best answer that there is to a call that cannot be sent. */
  void GiveUp(CallId aId, Call& aCall, ErrorKind aError,
              GatewayActions& aActions);
  /** Sends a call to the best endpoint that it has not tried; the reason if
   * that is not possible. */
  std::optional<ErrorKind> Send(CallId aId, Call& aCall, TimePoint aNow,
                                GatewayActions& aActions);
  [[nodiscard]] bool HasRoom(const Call& aCall,
                             const EndpointPool::Choice& aChoice,
                             TimePoint aNow) const;
  void Hedge(CallId aId, TimePoint aNow, GatewayActions& aActions);
  void EndpointAnswered(CallId aId, Call& aCall, const AttemptReply& aReply,
                        TimePoint aNow, GatewayActions& aActions);
  void RetryOrFail(CallId aId, Call& aCall, ErrorKind aError, TimePoint aNow,
                   GatewayActions& aActions);
  [[nodiscard]] bool MayRepeat(const Call& aCall, TimePoint aNow) const;
  void Succeed(CallId aId, std::shared_ptr<const Response> aResponse,
               GatewayActions& aActions);
  void Fail(CallId aId, ErrorKind aError, GatewayActions& aActions);
  /** Ends a call; its running attempts are cancelled. */
  void Finish(CallId aId, GatewayActions& aActions);
  [[nodiscard]] Duration RetryAfter(const Call& aCall);
  ServiceState& ServiceOf(const std::string& aName);
  [[nodiscard]] Duration WorkOf(const Route& aRoute) const;

  std::string mDataCentre;
  std::minstd_rand mRandom;
  std::shared_ptr<const RoutingView> mView;
  RetryBudgetTerms mBudgetTerms;
  std::size_t mHosts = 1;
  bool mTrusted = false;
  bool mTaking = true;
  TimePoint mNow;
  WeightedSplit mSplit;
  std::map<std::string, ServiceState> mServices;
  /** By route name. */
  std::map<std::string, TypicalTime> mTypical;
  CrashWatch mCrashes;
  std::unordered_map<CallId, Call> mCalls;
  std::unordered_map<AttemptId, Attempt> mAttempts;
  std::unordered_map<ProbeId, Probe> mProbes;
  std::multimap<TimePoint, Timer> mTimers;
  AttemptId mLastAttempt = 0;
  ProbeId mLastProbe = 0;
  GatewayCounts mCounts;
};

}  // namespace papayawheel
