#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** Multiplies a duration by a factor; fractions of a microsecond are cut off.
 */
inline Duration Scaled(Duration aDuration, double aFactor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(aDuration.count()) * aFactor));
}

}  // namespace papayawheel
