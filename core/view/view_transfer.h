#pragma once

#include <cstdint>
#include <optional>

#include "core/base/clock.h"
#include "core/view/store_change.h"

namespace papayawheel {

/** Time since the beginning and since the end of a period; see
 * StoreAvailability::Period. */
struct PeriodAges {
  Duration mFrom{0};
  Duration mUntil{0};
};

/** Changes of the store view that one host sends to another. Ages are those at
 * the time of sending. */
struct ViewTransfer {
  StoreDelta mDelta;
  /** Time since the sender's view was confirmed; empty if it is not. */
  std::optional<Duration> mAge;
  /** See ViewSummary::mConfirmation. */
  std::uint64_t mConfirmation = 0;
  /** The latest period in which the store was available to the sender's
   * knowledge. Earlier versions of the program send none. */
  std::optional<PeriodAges> mAvailable = std::nullopt;
};

}  // namespace papayawheel
