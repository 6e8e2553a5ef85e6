#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** A running estimate of the median of durations. Each sample moves it up or
 * down by a fixed fraction; the first one sets it if it is zero. */
class RunningMedian {
 public:
  explicit RunningMedian(Duration aStart = Duration::zero()) : mValue(aStart) {}

  void Note(Duration aSample);
  [[nodiscard]] Duration Value() const { return mValue; }

 private:
  Duration mValue;
};

}  // namespace papayawheel
