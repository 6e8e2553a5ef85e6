#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_sight.h"
#include "core/gateway/crash_ledger.h"
#include "core/gateway/crash_record.h"

namespace papayawheel {

/** An attempt that brought no answer. */
struct LostAttempt {
  std::uint64_t mFingerprint = 0;
  /** For logs. */
  std::string mRequestId;
  TimePoint mSentAt;
  TimePoint mEndedAt;
};

/** A step towards or away from the proof that a request crashed an endpoint;
 * for logs. */
struct CrashEvent {
  enum class Step : std::uint8_t {
    /** An attempt brought no answer. */
    Suspected,
    /** The endpoint turned out to have ended. */
    Confirmed,
    /** The endpoint answered, so it lives. */
    Dismissed,
    /** Neither was seen in time. */
    Unconfirmed,
    /** Another host confirmed it. */
    ConfirmedRemotely,
    /** A request like this one was answered. */
    Refuted,
  };
  enum class Proof : std::uint8_t {
    None,
    /** Connections are refused. */
    Refused,
    /** Another endpoint answers at the address. */
    Replaced,
    /** The endpoint is published as started anew. */
    Restarted,
    /** The endpoint is no longer published. */
    Removed,
    /** Another host saw the endpoint end. */
    OtherHost,
  };

  Step mStep = Step::Suspected;
  Proof mProof = Proof::None;
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
  /** Empty if another host told of it. */
  std::string mRequestId;
  /** CountCrashes of requests like this one that count after this step. */
  std::size_t mCrashes = 0;
};

/** The words of a step and of a proof in logs. */
std::string_view CrashEventStepName(CrashEvent::Step aStep);
std::string_view CrashEventProofName(CrashEvent::Proof aProof);

/** Recognises requests that crash the endpoints that run them.
 *
 * A request that brought no answer is only suspected: an endpoint may lose an
 * answer and live on. So the endpoint is asked at once whether it lives, and
 * what else is learnt of it counts too: by whom its address is held, how it is
 * published, what other hosts saw. */
class CrashDetector {
 public:
  /** An endpoint that must be asked whether it lives. */
  struct HealthCheck {
    std::string mService;
    std::string mEndpoint;
    std::string mAddress;
  };

  /** @param aOrigin differs from one host and start to the next. */
  explicit CrashDetector(std::uint64_t aOrigin) : mOrigin(aOrigin) {}

  /** An attempt at an endpoint brought no answer.
   * @param aEndpoint as it was published when the request was sent. */
  void NoteLostAttempt(const EndpointEntry& aEndpoint, const LostAttempt& aRun,
                       TimePoint aNow);

  /** Who was met at the address of an endpoint.
   * @param aAskedAt when the question or request was sent. */
  void NoteLiveness(const std::string& aEndpoint, EndpointSight aSight,
                    TimePoint aAskedAt, TimePoint aNow);

  /** What is published of the endpoints now. */
  void NotePublished(const EndpointMap& aEndpoints, TimePoint aNow);

  /** A request was answered and had been sent at a time. */
  void NoteAnswered(std::uint64_t aFingerprint, TimePoint aSentAt,
                    TimePoint aNow);

  /** Another host told of what it saw. */
  void NoteRemoteRecord(const CrashRecord& aRecord, TimePoint aNow);

  /** The endpoints to ask now. */
  std::vector<HealthCheck> TakeHealthChecks(TimePoint aNow);
  /** When TakeHealthChecks() has something to do; nothing if never. */
  [[nodiscard]] std::optional<TimePoint> NextHealthCheck() const;

  /** How long requests like this one must not be sent; zero if they may be. */
  [[nodiscard]] Duration QuarantineRemaining(std::uint64_t aFingerprint,
                                             TimePoint aNow) const;
  [[nodiscard]] bool IsQuarantined(std::uint64_t aFingerprint,
                                   TimePoint aNow) const;

  /** Whether a request like this one has crashed an endpoint. */
  [[nodiscard]] bool IsSuspect(std::uint64_t aFingerprint,
                               TimePoint aNow) const;

  /** What was seen here since the last call, for the other hosts. */
  std::vector<CrashRecord> TakeNewRecords();

  /** Steps since the last call. */
  std::vector<CrashEvent> TakeEvents();

 private:
  struct Suspicion {
    LostAttempt mAttempt;
    /** The endpoint answered later; it may have started anew in between. */
    bool mSeenAlive = false;
    TimePoint mExpires;
  };
  struct SuspectEndpoint {
    EndpointEntry mEndpoint;
    std::vector<Suspicion> mSuspicions;
    TimePoint mNextCheck;
    Duration mCheckInterval{0};
  };
  using SuspectEndpoints = std::map<std::string, SuspectEndpoint>;

  /** The endpoint of a suspicion has ended. Runs that it may have outlived are
   * dropped.
   * @param aAlsoSeenAlive whether it may have ended before it was seen alive.
   */
  SuspectEndpoints::iterator Confirm(SuspectEndpoints::iterator aSuspicion,
                                     CrashEvent::Proof aProof,
                                     bool aAlsoSeenAlive, TimePoint aNow);
  void DismissSuspicions(SuspectEndpoint& aSuspicion, TimePoint aAskedAt,
                         TimePoint aNow);
  /** @param aEndpoint that has ended; empty if the run was answered. */
  void AddRecord(const std::string& aEndpoint, const LostAttempt& aRun,
                 TimePoint aNow);
  void AddEvent(CrashEvent::Step aStep, CrashEvent::Proof aProof,
                const std::string& aEndpoint, const LostAttempt& aRun,
                TimePoint aNow);

  std::uint64_t mOrigin;
  std::uint64_t mLastRecord = 0;
  /** By endpoint, those that may yet prove to have crashed. */
  SuspectEndpoints mSuspectEndpoints;
  CrashLedger mLedger;
  std::vector<CrashRecord> mNewRecords;
  std::vector<CrashEvent> mEvents;
};

}  // namespace papayawheel
