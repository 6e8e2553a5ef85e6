#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** Limits the rate of calls. The bucket starts empty, so a process that
 * follows a crashed one cannot spend again what its predecessor spent. */
class TokenBucket {
 public:
  explicit TokenBucket(TimePoint aNow) : mUpdated(aNow) {}

  /** Changes the limits. Tokens above the new capacity are lost at once;
   * tokens are never added, so moving a share between hosts creates none. */
  void SetLimits(double aRatePerSecond, double aCapacity, TimePoint aNow);

  /** Takes one token if there is one. */
  bool TryTake(TimePoint aNow);

  /** Gives back a token that was taken for a call that did not start. */
  void Refund(TimePoint aNow);

  /** The time until a token is there; Duration::max() if never. */
  [[nodiscard]] Duration UntilNext(TimePoint aNow) const;

  [[nodiscard]] double Tokens(TimePoint aNow) const;

 private:
  void Refill(TimePoint aNow);

  TimePoint mUpdated;
  double mTokens = 0;
  double mRatePerSecond = 0;
  double mCapacity = 0;
};

}  // namespace papayawheel
