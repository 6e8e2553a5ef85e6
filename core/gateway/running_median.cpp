#include "core/gateway/running_median.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** Fraction of the estimate by which one sample moves it. */
constexpr double kStepFraction = 0.04;

}  // namespace

void RunningMedian::Note(Duration aSample) {
  if (mValue.count() == 0) {
    mValue = aSample;
    return;
  }
  const double step =
      std::max(1.0, static_cast<double>(mValue.count()) * kStepFraction);
  const auto micros = static_cast<std::int64_t>(step);
  mValue += Duration(aSample > mValue ? micros : -micros);
  mValue = std::max(mValue, Duration(1));
}

}  // namespace papayawheel
