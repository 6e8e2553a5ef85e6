#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** Limits the rate of calls. The bucket starts empty, so a process that
 * replaces a crashed one cannot use tokens that its predecessor has already
 * used. */
class TokenBucket {
 public:
  explicit TokenBucket(TimePoint aNow) : mUpdated(aNow) {}

  /** Changes the limits. Tokens above the new capacity are dropped. No tokens
   * are added, so moving a share between hosts creates none. */
  void SetLimits(double aRatePerSecond, double aCapacity, TimePoint aNow);

  /** Takes one token. Returns false if there is none. */
  bool TryTake(TimePoint aNow);

  /** Returns the token of a call that was not started to the bucket. */
  void Refund(TimePoint aNow);

  /** Returns the time until a token is available; Duration::max() if never. */
  [[nodiscard]] Duration UntilNext(TimePoint aNow) const;

  /** Returns the number of tokens, with fractions. */
  [[nodiscard]] double Tokens(TimePoint aNow) const;

 private:
  void Refill(TimePoint aNow);

  TimePoint mUpdated;
  double mTokens = 0;
  double mRatePerSecond = 0;
  double mCapacity = 0;
};

}  // namespace papayawheel
