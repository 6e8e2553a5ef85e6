#include "core/gateway/drain_schedule.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** How long a host that drains takes new requests at most. Callers keep its
 * address for some time. */
constexpr milliseconds kMaxAcceptPeriod{3000};

/** Length of each of the last steps: for the last answers, for sending them,
 * and for the end of the process. */
constexpr milliseconds kMaxStep{150};

/** Parts of the grace period that these times take at most. */
constexpr int kAcceptDivisor = 2;
/** Three steps take less than a sixth of the period, as requests that run are
 * not ended before its last sixth. */
constexpr int kStepDivisor = 20;

}  // namespace

DrainSchedule::DrainSchedule(TimePoint aSince, Duration aGrace) {
  const Duration step = std::min<Duration>(kMaxStep, aGrace / kStepDivisor);
  mEndsAt = aSince + aGrace - step;
  mEndsFrom = mEndsAt - step;
  mGivesUpAt = mEndsFrom - step;
  mRefusesFrom =
      aSince + std::min<Duration>(kMaxAcceptPeriod, aGrace / kAcceptDivisor);
}

}  // namespace papayawheel
