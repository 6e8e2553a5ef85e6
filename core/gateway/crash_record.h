#pragma once

#include <cstdint>
#include <string>

#include "core/base/clock.h"

namespace papayawheel {

/** What one host saw of a request that may crash endpoints, as it is told to
 * the others. Times are ages, since hosts share no clock. */
struct CrashRecord {
  /** Names the record among those of all hosts. */
  std::uint64_t mId = 0;
  /** The host that saw it, in its present start. */
  std::uint64_t mOrigin = 0;
  /** When the run ended, by the clock of that host: tells the order of its
   * records. */
  Duration mOriginTime{0};
  /** Identifies requests that are alike: method, host, target, caller and body.
   */
  std::uint64_t mFingerprint = 0;
  /** The endpoint that ended with the request; empty if it was answered. */
  std::string mEndpoint;
  /** How long ago the connection broke, or the answer came. */
  Duration mEndedAgo{0};
  /** How long before that the request had been sent to the endpoint. */
  Duration mAttemptDuration{0};

  /** A request like this one was answered, so it crashes nothing. */
  [[nodiscard]] bool IsRefutation() const { return mEndpoint.empty(); }
};

}  // namespace papayawheel
