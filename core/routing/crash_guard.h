#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Distinct endpoints that a request may take down before it is stopped. */
constexpr std::size_t kCrashesToQuarantine = 2;

/** Time for which a request stays quarantined, and for which a single crash
 * is remembered. */
constexpr std::chrono::seconds kQuarantineTime{60};

/** An endpoint was lost while it ran a request. */
struct CrashReport {
  /** Identifies requests that are alike: method, path, customer, body. */
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
};

/** Recognises requests that crash the endpoints that run them. */
class CrashGuard {
 public:
  /** An endpoint was lost while it ran the request. Returns true if this
   * starts a quarantine. */
  bool NoteCrash(const CrashReport& aReport, TimePoint aNow);

  /** The request was answered, so earlier losses were a coincidence. */
  void NoteAnswered(std::uint64_t aFingerprint);

  /** Time until the quarantine of the request ends; zero if it has none. */
  [[nodiscard]] Duration Remaining(std::uint64_t aFingerprint,
                                   TimePoint aNow) const;

  /** Forgets what has expired; returns the quarantines that ended. */
  std::vector<std::uint64_t> Tick(TimePoint aNow);

 private:
  struct Suspect {
    std::set<std::string> mEndpoints;
    TimePoint mExpires;
  };

  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

}  // namespace papayawheel
