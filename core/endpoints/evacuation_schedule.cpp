#include "core/endpoints/evacuation_schedule.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Period in which the hosts stop to send requests. Together with the time
 * until a host learns of the evacuation it stays below the platform's bound of
 * a few seconds. */
constexpr milliseconds kStopPeriod{1000};

/** Period in which the hosts resume. */
constexpr milliseconds kResumePeriod{3000};

Duration RandomPart(Duration aPeriod, std::minstd_rand& aRandom) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, aPeriod.count())(aRandom));
}

}  // namespace

void EvacuationSchedule::Update(bool aIsEvacuated, bool aIsNew,
                                std::minstd_rand& aRandom, TimePoint aNow) {
  if (aIsEvacuated == mIsEvacuated) {
    return;
  }
  mIsEvacuated = aIsEvacuated;
  if (!aIsEvacuated) {
    // Without a stop that took effect, the endpoint never stopped.
    mResumesAt = aNow < mStopsAt ? TimePoint::min()
                                 : aNow + RandomPart(kResumePeriod, aRandom);
    return;
  }
  const bool hasStopped = aIsNew || !Accepts(aNow);
  mStopsAt = hasStopped ? aNow : aNow + RandomPart(kStopPeriod, aRandom);
  mResumesAt = TimePoint::max();
}

}  // namespace papayawheel
