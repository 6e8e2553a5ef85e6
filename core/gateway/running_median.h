#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** A running estimate of the median of durations. */
class TypicalTime {
 public:
  explicit TypicalTime(Duration aStart = Duration::zero()) : mValue(aStart) {}

  void Note(Duration aSample);
  [[nodiscard]] Duration Value() const { return mValue; }

 private:
  Duration mValue;
};

}  // namespace papayawheel
