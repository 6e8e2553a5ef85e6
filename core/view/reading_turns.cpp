#include "core/view/reading_turns.h"

#include <algorithm>
#include <cmath>

namespace papayawheel {

Duration TurnOf(std::size_t aRank) {
  const double doublings =
      std::log2(1 + static_cast<double>(aRank) / kFirstDeputies);
  const auto turn = std::chrono::duration_cast<Duration>(
      doublings * std::chrono::duration<double>(kDeputyStep));
  return std::min<Duration>(turn, kMaxTurn);
}

}  // namespace papayawheel
