#pragma once

#include <random>

#include "core/base/clock.h"

namespace papayawheel {

/** Decides when one host stops and resumes sending requests to an endpoint
 * whose data centre is evacuated.
 *
 * Each host waits for a random part of a period, so that the work of a data
 * centre moves step by step: at once, it would overload the endpoints that
 * remain, and those that return may still be warming up. */
class EvacuationSchedule {
 public:
  /** Sets whether the data centre of the endpoint is evacuated.
   * @param aIsNew the endpoint was not known to this host before. It gets no
   * requests from the beginning if it is evacuated. */
  void Update(bool aIsEvacuated, bool aIsNew, std::minstd_rand& aRandom,
              TimePoint aNow);

  /** Whether the endpoint may get requests. */
  [[nodiscard]] bool Accepts(TimePoint aNow) const {
    return aNow < mStopsAt || aNow >= mResumesAt;
  }

  [[nodiscard]] bool IsEvacuated() const { return mIsEvacuated; }
  /** When the endpoint gets requests again: in the past if it does now, never
   * while its data centre is evacuated. */
  [[nodiscard]] TimePoint ResumesAt() const { return mResumesAt; }

 private:
  bool mIsEvacuated = false;
  TimePoint mStopsAt = TimePoint::max();
  TimePoint mResumesAt = TimePoint::min();
};

}  // namespace papayawheel
