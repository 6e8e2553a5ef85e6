#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** A part or a multiple of a duration. */
inline Duration Scaled(Duration aDuration, double aFactor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(aDuration.count()) * aFactor));
}

}  // namespace papayawheel
