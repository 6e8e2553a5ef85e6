#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** The times of a planned stop, from its grace period. */
class DrainSchedule {
 public:
  DrainSchedule(TimePoint aSince, Duration aGrace);

  /** From then on no request is taken. */
  [[nodiscard]] TimePoint RefusesFrom() const { return mRefusesFrom; }
  /** A request is taken only if its deadline is not later. Requests that run
   * then are answered that their outcome is unknown. */
  [[nodiscard]] TimePoint GivesUpAt() const { return mGivesUpAt; }
  /** From then on the process ends as soon as all answers have been sent. */
  [[nodiscard]] TimePoint EndsFrom() const { return mEndsFrom; }
  /** The process ends then at the latest. */
  [[nodiscard]] TimePoint EndsAt() const { return mEndsAt; }

 private:
  TimePoint mRefusesFrom;
  TimePoint mGivesUpAt;
  TimePoint mEndsFrom;
  TimePoint mEndsAt;
};

}  // namespace papayawheel
