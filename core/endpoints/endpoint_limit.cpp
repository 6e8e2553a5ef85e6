#include "core/endpoints/endpoint_limit.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::seconds;

/** Maximum time between two requests, also with a share of zero. */
constexpr seconds kMaxInterval{3600};

/** A host whose share has changed waits a random part of an interval, from the
 * first to the second, so that many hosts do not send at the same time. */
constexpr double kMinFirstInterval = 0.5;
constexpr double kMaxFirstInterval = 1.5;

}  // namespace

void EndpointLimit::Note(const EndpointEntry& aEntry,
                         const EndpointNotice& aNotice,
                         const LimitSharers& aSharers,
                         std::minstd_rand& aRandom, TimePoint aNow) {
  const bool isProbe = aNotice.mSource == NoticeSource::Probe;
  mIsNamedByProbes =
      mIsNamedByProbes || (isProbe && aNotice.mLimit.has_value());
  const bool saysNothing =
      aNotice.mSource == NoticeSource::None || (isProbe && !mIsNamedByProbes);
  if (saysNothing || aNotice.mLimit == mLimit) {
    return;
  }
  if (aNotice.mLimit && !mLimit) {
    mShare = 0;
    mNextAt = TimePoint::max();
  }
  mLimit = aNotice.mLimit;
  UpdateShare(aEntry, aSharers, aRandom, aNow);
}

void EndpointLimit::UpdateShare(const EndpointEntry& aEntry,
                                const LimitSharers& aSharers,
                                std::minstd_rand& aRandom, TimePoint aNow) {
  if (!mLimit) {
    return;
  }
  const double share = ShareOfLimit(aEntry.mId, aEntry.mDataCentre, *mLimit,
                                    aSharers.mSelf, aSharers.mHosts);
  if (share == mShare) {
    return;
  }
  const double part = std::uniform_real_distribution<double>(
      kMinFirstInterval, kMaxFirstInterval)(aRandom);
  const TimePoint next = After(share / part, aNow);
  mNextAt = share > mShare ? std::min(mNextAt, next) : std::max(mNextAt, next);
  mShare = share;
}

void EndpointLimit::NoteSent(TimePoint aNow) { mNextAt = After(mShare, aNow); }

TimePoint EndpointLimit::After(double aRate, TimePoint aNow) {
  const std::chrono::duration<double> max = kMaxInterval;
  const std::chrono::duration<double> interval(
      aRate > 0 ? std::min(max.count(), 1 / aRate) : max.count());
  return aNow + std::chrono::duration_cast<Duration>(interval);
}

}  // namespace papayawheel
