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
  /** Identifies requests that are alike: method, host, target, caller and body.
   */
  std::uint64_t mFingerprint = 0;
  /** The endpoint that ended with the request; empty if it was answered. */
  std::string mEndpoint;
  /** How long ago the request was sent to the endpoint. */
  Duration mSentAgo{0};
  /** How long ago its connection broke, or its answer came. */
  Duration mEndedAgo{0};

  /** A request like this one was answered, so it crashes nothing. */
  [[nodiscard]] bool IsAnswer() const { return mEndpoint.empty(); }
};

}  // namespace papayawheel
