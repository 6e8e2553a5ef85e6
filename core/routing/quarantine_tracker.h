#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Crashes after which a request is stopped. */
constexpr std::size_t kCrashesToQuarantine = 2;

/** Time for which a request stays quarantined, and for which a single crash
 * is remembered. */
constexpr std::chrono::seconds kQuarantineTime{60};

/** An endpoint was lost while it ran a request, or a request that was suspect
 * has been answered. */
struct CrashReport {
  /** Identifies requests that are alike: method, path, customer, body. */
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
  /** The request was answered, so it is not to blame. */
  bool mDismissed = false;
};

/** A request that is quarantined, as hosts tell each other. */
struct Quarantine {
  std::uint64_t mFingerprint = 0;
  std::chrono::milliseconds mRemaining{0};

  bool operator==(const Quarantine&) const = default;
};

/** Recognises requests that crash the endpoints that run them. */
class QuarantineTracker {
 public:
  /** Takes a report of this host or of another one. Returns true if this
   * starts a quarantine. */
  bool NoteReport(const CrashReport& aReport, TimePoint aNow);

  /** The request was answered, so an earlier loss was a coincidence. Returns
   * true if it was suspect. */
  bool NoteAnswered(std::uint64_t aFingerprint);

  /** Whether the request was lost once; until it is answered it may run only
   * once at a time over all hosts. */
  [[nodiscard]] bool IsSuspect(std::uint64_t aFingerprint,
                               TimePoint aNow) const;

  /** Time until the quarantine of the request ends; zero if it has none. */
  [[nodiscard]] Duration QuarantineRemaining(std::uint64_t aFingerprint,
                                             TimePoint aNow) const;

  /** The quarantines that other hosts must know of. */
  [[nodiscard]] std::vector<Quarantine> Quarantines(TimePoint aNow) const;

  /** Another host told of a quarantine. Returns true if this starts one here.
   */
  bool AddQuarantine(const Quarantine& aQuarantine, TimePoint aNow);

  /** Forgets what has expired; returns the quarantines that ended. */
  std::vector<std::uint64_t> Tick(TimePoint aNow);

 private:
  struct Suspect {
    std::size_t mCrashes = 0;
    TimePoint mExpires;
  };

  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

}  // namespace papayawheel
