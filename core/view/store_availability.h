#pragma once

#include <cstdint>
#include <optional>

#include "core/base/clock.h"

namespace papayawheel {

/** Since when the platform's store has answered without interruption, as far as
 * answers to this host and reports of other hosts tell.
 *
 * The store drops an entry when its endpoint leaves, and also when the endpoint
 * could not renew it for some time. The two look alike. Entries that expired
 * while the store was unavailable are published again soon after its return, so
 * only a removal from that time may concern an endpoint that still runs. Both
 * this time and the time for which an endpoint that has left serves on are
 * counted from what happened in the store, not from when a host reads of it: a
 * host that reads late, or has just started, must not use an endpoint for
 * longer than the others. */
class StoreAvailability {
 public:
  /** A period in which the store was available. */
  struct Period {
    TimePoint mFrom;
    TimePoint mUntil;
  };

  /** Records that the store answered at the beginning and at the end of a
   * period and without a long interruption between.
   * @param aEra the era of the store that answered; a later one than before
   * shows that the store was away and was restored. */
  void NoteAvailable(std::uint64_t aEra, const Period& aPeriod);

  /** The latest known period without interruption; empty before the first
   * answer. Its beginning is that of the period if the store has been away,
   * else when this host first learned of an answer. */
  [[nodiscard]] const std::optional<Period>& Latest() const { return mLatest; }

  /** Until when an entry that was removed may have expired while its endpoint
   * still runs. Later it is known to be gone, as the endpoint would have
   * published itself again. */
  [[nodiscard]] TimePoint ExpiriesUntil(TimePoint aNow) const;

  /** Until when the endpoint of a removed entry may be used: as long as the
   * entry may have expired, but no longer than an endpoint that has left serves
   * on. A removal during an interruption, or before it, counts from its end.
   * @param aRemovedAfter a time before the removal, the closer the better;
   * empty if unknown. */
  [[nodiscard]] TimePoint UsableUntil(std::optional<TimePoint> aRemovedAfter,
                                      TimePoint aNow) const;

 private:
  std::uint64_t mEra = 0;
  std::optional<Period> mLatest;
};

}  // namespace papayawheel
