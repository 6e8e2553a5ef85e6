#include "core/endpoints/warm_up_limit.h"

#include <algorithm>

#include "core/endpoints/warm_up_share.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** A host sends its share in this time. It is longer than the second of the
 * bound, so that requests that arrive up to 75 ms closer together than they
 * were sent still comply. */
constexpr milliseconds kWindow{1100};

/** A request that is sent late by up to this does not delay the next one:
 * waiting requests are handled in rounds that are as far apart. */
constexpr milliseconds kMaxLateness{25};

Duration RandomPart(Duration aPeriod, std::minstd_rand& aRandom) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, aPeriod.count())(aRandom));
}

}  // namespace

void WarmUpLimit::NotePublished(Duration aColdFor, const Context& aContext,
                                TimePoint aNow) {
  if (aColdFor > Duration::zero()) {
    SetColdUntil(std::max<TimePoint>(mColdUntil, aNow + aColdFor), false,
                 aContext, aNow);
  }
}

void WarmUpLimit::NoteAnswer(Duration aColdFor, const Context& aContext,
                             TimePoint aNow) {
  SetColdUntil(aNow + aColdFor, true, aContext, aNow);
}

void WarmUpLimit::NoteUncertain(TimePoint aUntil, const Context& aContext,
                                TimePoint aNow) {
  SetColdUntil(std::max(mColdUntil, aUntil), false, aContext, aNow);
}

void WarmUpLimit::SetColdUntil(TimePoint aUntil, bool aIsConfirmed,
                               const Context& aContext, TimePoint aNow) {
  const bool wasCold = IsCold(aNow);
  mColdUntil = aUntil;
  mIsConfirmed = aIsConfirmed;
  if (wasCold || !IsCold(aNow)) {
    return;
  }
  // Shares are not kept up to date while the endpoint is warm.
  mShare = 0;
  UpdateShare(aContext, aNow);
  if (mShare > 0) {
    // Many hosts learn of it at once, so each begins at a random time.
    const TimePoint start = std::max(aNow, aContext.mSharers.mSettledAt);
    mNextAt = start + RandomPart(Interval(), aContext.mRandom);
    if (mSentAt > TimePoint::min()) {
      mNextAt = std::max<TimePoint>(mNextAt, mSentAt + Interval());
    }
  }
}

void WarmUpLimit::UpdateShare(const Context& aContext, TimePoint aNow) {
  mHasPlan = aContext.mPlanned.has_value();
  if (!mHasPlan || !IsCold(aNow)) {
    return;
  }
  const WarmUpSharers& sharers = aContext.mSharers;
  const bool isSettled = sharers.mSettledAt < TimePoint::max();
  const std::uint32_t before = mShare;
  mShare = isSettled ? ShareOfWarmUp(aContext.mEndpoint, *aContext.mPlanned,
                                     sharers.mSelf, sharers.mHosts)
                     : 0;
  if (mShare == 0) {
    mNextAt = TimePoint::max();
    return;
  }
  const TimePoint start = std::max(aNow, sharers.mSettledAt);
  if (before == 0) {
    // The requests of the host that had this share before must be in the past.
    mNextAt = start + kWindow + RandomPart(Interval(), aContext.mRandom);
  } else if (mShare < before) {
    mNextAt = std::max<TimePoint>(mNextAt, start + Interval());
  } else if (mNextAt < sharers.mSettledAt) {
    mNextAt = start + RandomPart(Interval(), aContext.mRandom);
  }
}

void WarmUpLimit::NoteSent(TimePoint aNow) {
  mSentAt = aNow;
  if (mShare > 0) {
    const TimePoint due =
        std::clamp<TimePoint>(mNextAt, aNow - kMaxLateness, aNow);
    mNextAt = due + Interval();
  }
}

TimePoint WarmUpLimit::NextAt(TimePoint aNow) const {
  return IsLimited(aNow) ? std::min(mNextAt, mColdUntil) : TimePoint::min();
}

Duration WarmUpLimit::Interval() const { return Duration(kWindow) / mShare; }

}  // namespace papayawheel
