#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <ostream>
#include <tuple>

namespace papayawheel {

/** One step of a random schedule of faults. */
template <typename Act>
struct ScheduleStep {
  Act mAct;
  /** Two numbers by which the act may choose hosts or requests. */
  std::size_t mFirst = 0;
  std::size_t mSecond = 0;
  std::chrono::milliseconds mTime{0};
};

template <typename Act>
void showValue(  // NOLINT(readability-identifier-naming)
    const ScheduleStep<Act>& aStep, std::ostream& aOut) {
  aOut << "{" << static_cast<int>(aStep.mAct) << "," << aStep.mFirst << ","
       << aStep.mSecond << "," << aStep.mTime.count() << "}";
}

/** Generates random steps.
 * @param aActCount number of acts.
 * @param aExtraWeightOfLast additional weight of the last act; each act has a
 * weight of 1.
 * @param aNumbers exclusive upper bound of the two numbers.
 * @param aMaxTime exclusive upper bound of the time. */
template <typename Act>
rc::Gen<ScheduleStep<Act>> GenerateStep(int aActCount, int aExtraWeightOfLast,
                                        std::size_t aNumbers,
                                        std::chrono::milliseconds aMaxTime) {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, aActCount + aExtraWeightOfLast),
                     rc::gen::inRange<std::size_t>(0, aNumbers),
                     rc::gen::inRange<std::size_t>(0, aNumbers),
                     rc::gen::inRange<std::int64_t>(0, aMaxTime.count())),
      [aActCount](const std::tuple<int, std::size_t, std::size_t, std::int64_t>&
                      aParts) {
        const int act = std::min(std::get<0>(aParts), aActCount - 1);
        return ScheduleStep<Act>{
            static_cast<Act>(act), std::get<1>(aParts), std::get<2>(aParts),
            std::chrono::milliseconds(std::get<3>(aParts))};
      });
}

}  // namespace papayawheel
