#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Number of crashes after which a request is quarantined. */
constexpr std::size_t kCrashesToQuarantine = 2;

/** Duration of a quarantine, and time after which a single crash expires. */
constexpr std::chrono::seconds kQuarantineTime{60};

/** Report that the connection to an endpoint was lost while it ran a request,
 * or that a suspect request was answered. */
struct CrashReport {
  /** Hash of method, target, customer, service and body; equal for requests
   * that are alike. */
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
  /** Whether the suspicion is dismissed because the request was answered. */
  bool mDismissed = false;
};

/** A quarantined request as exchanged between hosts. */
struct Quarantine {
  std::uint64_t mFingerprint = 0;
  std::chrono::milliseconds mRemaining{0};

  bool operator==(const Quarantine&) const = default;
};

/** Counts crashes by request and quarantines requests that crash endpoints
 * repeatedly. */
class QuarantineTracker {
 public:
  /** Applies a report from this host or another one. Returns true if it starts
   * a quarantine. */
  bool NoteReport(const CrashReport& aReport, TimePoint aNow);

  /** Records that a request was answered, so that an earlier crash was not
   * caused by it. Returns true if the request was suspect. A quarantine stays
   * in force. */
  bool NoteAnswered(std::uint64_t aFingerprint);

  /** Whether an attempt of the request was lost, but not often enough for a
   * quarantine. Until it is answered, such a request may run only one at a time
   * over all hosts. */
  [[nodiscard]] bool IsSuspect(std::uint64_t aFingerprint,
                               TimePoint aNow) const;

  /** Time until the quarantine of a request ends; zero if it has none. */
  [[nodiscard]] Duration QuarantineRemaining(std::uint64_t aFingerprint,
                                             TimePoint aNow) const;

  /** The quarantines to send to other hosts. */
  [[nodiscard]] std::vector<Quarantine> Quarantines(TimePoint aNow) const;

  /** Adds a quarantine that another host sent; returns true if it is new. */
  bool AddQuarantine(const Quarantine& aQuarantine, TimePoint aNow);

  /** Removes expired entries; returns fingerprints whose quarantine ended. */
  std::vector<std::uint64_t> Tick(TimePoint aNow);

 private:
  struct Suspect {
    std::size_t mCrashes = 0;
    TimePoint mExpires;
  };

  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

}  // namespace papayawheel
