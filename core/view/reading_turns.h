#pragma once

#include <cstddef>

#include "core/base/clock.h"

namespace papayawheel {

/** If the view has not been confirmed for this time, hosts read the store by
 * themselves: kFirstDeputies of them within the first kDeputyStep, and twice as
 * many in each further one. */
constexpr std::chrono::milliseconds kMaxConfirmationAge{1100};
constexpr std::chrono::milliseconds kDeputyStep{50};
constexpr double kFirstDeputies = 4;

/** No host waits longer than this for its turn. */
constexpr std::chrono::milliseconds kMaxTurn{600};

/** A pull that has taken longer than this may hang, so the next host that
 * announces a newer view is asked as well. */
constexpr std::chrono::milliseconds kMaxPullWait{200};

/** How much later than the first host a host reads the store by itself.
 * @param aRank see ReaderDuty::mRank. */
Duration TurnOf(std::size_t aRank);

}  // namespace papayawheel
