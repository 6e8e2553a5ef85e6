#include "core/view/store_availability.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** The store counts as having been away if it did not answer for longer than
 * this. Entries expire after three missed renewals, which are 1.5 s apart, so
 * none expires in a shorter time. */
constexpr milliseconds kMaxInterruption{2500};

/** Entries that expired while the store was away are published again within two
 * seconds of its return. This is a little shorter, so that requests on their
 * way arrive at an endpoint that has left before the two seconds that it goes
 * on serving are over. */
constexpr milliseconds kExpiryPeriod{1800};

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

}  // namespace papayawheel
