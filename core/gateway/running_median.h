#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** A running estimate of the median of durations. */
class RunningMedian {
 public:
  explicit RunningMedian(Duration aStart = Duration::zero()) : mValue(aStart) {}

  void Note(Duration aSample);
  [[nodiscard]] Duration Value() const { return mValue; }

 private:
  Duration mValue;
};

}  // namespace papayawheel
