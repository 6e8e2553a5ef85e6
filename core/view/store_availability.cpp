#include "core/view/store_availability.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** The store counts as having been away if it did not answer for longer than
 * this. Entries expire after three missed renewals, which are 1.5 s apart, so
 * none expires in a shorter time. */
constexpr milliseconds kMaxInterruption{2500};

/** Entries that expired while the store was away are published again within
 * about two seconds of its return, and known to this host somewhat later. */
constexpr milliseconds kExpiryPeriod{2800};

/** An endpoint serves on for two seconds after the store has accepted that it
 * left. This is a little shorter, so that requests on their way arrive. */
constexpr milliseconds kServesOn{1800};

}  // namespace

void StoreAvailability::NoteAvailable(std::uint64_t aEra,
                                      const Period& aPeriod) {
  const Period period{std::min(aPeriod.mFrom, aPeriod.mUntil), aPeriod.mUntil};
  if (!mLatest || aEra > mEra) {
    mEra = aEra;
    mLatest = period;
    return;
  }
  const bool isEarlier = period.mUntil + kMaxInterruption < mLatest->mFrom;
  if (aEra < mEra || isEarlier) {
    return;
  }
  if (period.mFrom > mLatest->mUntil + kMaxInterruption) {
    mLatest = period;
    return;
  }
  mLatest->mFrom = std::min(mLatest->mFrom, period.mFrom);
  mLatest->mUntil = std::max(mLatest->mUntil, period.mUntil);
}

TimePoint StoreAvailability::ExpiriesUntil(TimePoint aNow) const {
  return (mLatest ? mLatest->mFrom : aNow) + kExpiryPeriod;
}

TimePoint StoreAvailability::UsableUntil(std::optional<TimePoint> aRemovedAfter,
                                         TimePoint aNow) const {
  const TimePoint from = mLatest ? mLatest->mFrom : aNow;
  const TimePoint removedAfter = std::max(aRemovedAfter.value_or(from), from);
  return std::min<TimePoint>(removedAfter + kServesOn, ExpiriesUntil(aNow));
}

}  // namespace papayawheel
