#include "core/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace papayawheel {
namespace {

/** Threshold for one available token. It is slightly below 1 because a refill
 * to exactly one token may be rounded down. */
constexpr double kWholeToken = 1 - 1e-9;
constexpr double kMicrosPerSecond = 1e6;

double Seconds(TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

}  // namespace

void TokenBucket::SetLimits(double aRatePerSecond, double aCapacity,
                            TimePoint aNow) {
  Refill(aNow);
  mRatePerSecond = aRatePerSecond;
  mCapacity = aCapacity;
  mTokens = std::min(mTokens, mCapacity);
}

bool TokenBucket::TryTake(TimePoint aNow) {
  Refill(aNow);
  if (mTokens < kWholeToken) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void TokenBucket::Refund(TimePoint aNow) {
  Refill(aNow);
  mTokens = std::min(mTokens + 1, mCapacity);
}

Duration TokenBucket::UntilNext(TimePoint aNow) const {
  const double tokens = Tokens(aNow);
  if (tokens >= kWholeToken) {
    return Duration::zero();
  }
  if (mRatePerSecond <= 0 || mCapacity < 1) {
    return Duration::max();
  }
  return Duration(static_cast<std::int64_t>(
      std::ceil((1 - tokens) / mRatePerSecond * kMicrosPerSecond)));
}

double TokenBucket::Tokens(TimePoint aNow) const {
  const double gained =
      std::max(0.0, Seconds(aNow - mUpdated)) * mRatePerSecond;
  return std::min(mTokens + gained, mCapacity);
}

void TokenBucket::Refill(TimePoint aNow) {
  mTokens = Tokens(aNow);
  mUpdated = std::max(mUpdated, aNow);
}

}  // namespace papayawheel
