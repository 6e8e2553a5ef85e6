#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_liveness.h"
#include "core/gateway/crash_ledger.h"
#include "core/gateway/crash_record.h"

namespace papayawheel {

/** An attempt that ended without an answer. */
struct LostAttempt {
  std::uint64_t mFingerprint = 0;
  /** For logs. */
  std::string mRequestId;
  TimePoint mSentAt;
  TimePoint mEndedAt;
};

/** A change in what is known of a possible crash, for logs. */
struct CrashEvent {
  enum class Step : std::uint8_t {
    /** An attempt was lost. */
    Suspected,
    /** The endpoint is known to have ended. */
    Confirmed,
    /** The endpoint answered, so it is alive. */
    Dismissed,
    /** Neither was observed in time. */
    Unconfirmed,
    /** Another host confirmed a crash. */
    ConfirmedRemotely,
    /** A request with the same fingerprint was answered. */
    Refuted,
  };
  enum class Proof : std::uint8_t {
    None,
    /** The address refuses connections. */
    Refused,
    /** Another endpoint answers at the address. */
    Replaced,
    /** The endpoint is published as restarted. */
    Restarted,
    /** The endpoint is no longer published. */
    Removed,
    /** Another host reported the end of the endpoint. */
    OtherHost,
  };

  Step mStep = Step::Suspected;
  Proof mProof = Proof::None;
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
  /** Empty if another host reported the crash. */
  std::string mRequestId;
  /** Crashes that count against the fingerprint after this step. */
  std::size_t mCrashes = 0;
};

/** Names of steps and proofs in log lines. They are part of the log format, so
 * some differ from their enumerators. */
std::string_view CrashEventStepName(CrashEvent::Step aStep);
std::string_view CrashEventProofName(CrashEvent::Proof aProof);

/** Detects requests that crash the endpoints that run them.
 *
 * A lost attempt only makes its request suspect, since an endpoint may lose an
 * answer and stay alive. The endpoint gets a health check at once. What answers
 * at its address, what is published of it and the records of other hosts may
 * confirm the crash too. */
class CrashDetector {
 public:
  /** A health check to send to an endpoint. */
  struct HealthCheck {
    std::string mService;
    std::string mEndpoint;
    std::string mAddress;
  };

  /** @param aOrigin is unique for each process of each host. */
  explicit CrashDetector(std::uint64_t aOrigin) : mOrigin(aOrigin) {}

  /** An attempt ended without an answer.
   * @param aEndpoint the published entry when the request was sent. */
  void NoteLostAttempt(const EndpointEntry& aEndpoint,
                       const LostAttempt& aAttempt, TimePoint aNow);

  /** An attempt or a health check showed what answers at an endpoint's address.
   * @param aSentAt when the attempt or health check was sent. */
  void NoteLiveness(const std::string& aEndpoint, EndpointLiveness aLiveness,
                    TimePoint aSentAt, TimePoint aNow);

  /** The published endpoints have changed, or may have. */
  void NotePublished(const EndpointMap& aEndpoints, TimePoint aNow);

  /** A request was answered.
   * @param aSentAt when it was sent to the endpoint. */
  void NoteAnswered(std::uint64_t aFingerprint, TimePoint aSentAt,
                    TimePoint aNow);

  /** A record arrived from another host. */
  void NoteRemoteRecord(const CrashRecord& aRecord, TimePoint aNow);

  /** Returns the health checks that are due, and drops expired suspicions. */
  std::vector<HealthCheck> TakeHealthChecks(TimePoint aNow);
  /** When TakeHealthChecks() must be called next; nothing if there is no need.
   */
  [[nodiscard]] std::optional<TimePoint> NextHealthCheck() const;

  /** Remaining time for which requests with this fingerprint are refused; zero
   * if they may be sent. */
  [[nodiscard]] Duration QuarantineRemaining(std::uint64_t aFingerprint,
                                             TimePoint aNow) const;
  [[nodiscard]] bool IsQuarantined(std::uint64_t aFingerprint,
                                   TimePoint aNow) const;

  /** Whether a request with this fingerprint has crashed an endpoint. */
  [[nodiscard]] bool IsSuspect(std::uint64_t aFingerprint,
                               TimePoint aNow) const;

  /** Records made on this host since the last call, to send to other hosts. */
  std::vector<CrashRecord> TakeNewRecords();

  /** Events since the last call. */
  std::vector<CrashEvent> TakeEvents();

 private:
  struct Suspicion {
    LostAttempt mAttempt;
    /** The endpoint answered later, but may have restarted in between. */
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

  /** The endpoint has ended: confirms its suspicions and removes it. Suspicions
   * after which it was seen alive are dismissed.
   * @param aAlsoSeenAlive confirm those too, since the endpoint may have
   * restarted before it was seen alive.
   * @return the next suspect endpoint. */
  SuspectEndpoints::iterator Confirm(SuspectEndpoints::iterator aSuspect,
                                     CrashEvent::Proof aProof,
                                     bool aAlsoSeenAlive, TimePoint aNow);
  /** The endpoint answered: dismisses the suspicions after which it cannot have
   * restarted. */
  void DismissSuspicions(SuspectEndpoint& aSuspect, TimePoint aSentAt,
                         TimePoint aNow);
  /** @param aEndpoint the crashed endpoint; empty if the attempt was answered.
   */
  void AddRecord(const std::string& aEndpoint, const LostAttempt& aAttempt,
                 TimePoint aNow);
  void AddEvent(CrashEvent::Step aStep, CrashEvent::Proof aProof,
                const std::string& aEndpoint, const LostAttempt& aAttempt,
                TimePoint aNow);

  std::uint64_t mOrigin;
  std::uint64_t mLastRecord = 0;
  /** By endpoint id. */
  SuspectEndpoints mSuspectEndpoints;
  CrashLedger mLedger;
  std::vector<CrashRecord> mNewRecords;
  std::vector<CrashEvent> mEvents;
};

}  // namespace papayawheel
