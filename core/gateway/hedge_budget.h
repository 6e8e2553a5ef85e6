#pragma once

#include <cstdint>
#include <deque>

#include "core/base/clock.h"

namespace papayawheel {

/** One host's part of the limit on the hedges of a service.
 *
 * Each request of the host earns a share of a hedge, which expires after
 * kWindow. A host spends only what its own requests earned, so no host needs to
 * know of another, and for any number of hosts:
 * - the hedges of a period are at most the share of the requests of that period
 *   and of kWindow before it;
 * - the hedges since the start are at most the share of the requests since the
 *   start.
 * A host also sends no hedge that would make its hedges of the last kWindow
 * exceed the share of its requests in that time. */
class HedgeBudget {
 public:
  /** Long enough for a host with few requests to earn a whole hedge. */
  static constexpr std::chrono::seconds kWindow{60};

  /** @param aPercent hedges for each hundred requests, from 0 to 100. */
  explicit HedgeBudget(double aPercent);

  void NoteRequest(TimePoint aNow);

  /** Takes one hedge from the budget if it allows one. */
  bool TryTake(TimePoint aNow);

  /** Number of hedges that remain; may be fractional. */
  [[nodiscard]] double Remaining(TimePoint aNow);

 private:
  /** What happened within one interval. Requests of a slot expire with the
   * first of them and hedges with the last, so that rounding never adds to the
   * budget. */
  struct Slot {
    TimePoint mStart;
    std::int64_t mRequests = 0;
    std::int64_t mHedges = 0;
    /** Parts of hedges that are not spent. */
    std::int64_t mUnspent = 0;
  };

  void RemoveExpired(TimePoint aNow);
  Slot& CurrentSlot(TimePoint aNow);
  /** Number of parts that may be spent now. */
  [[nodiscard]] std::int64_t SpendableParts(TimePoint aNow) const;

  /** Parts that each request earns. */
  std::int64_t mPartsPerRequest;
  /** Oldest first. */
  std::deque<Slot> mSlots;
};

}  // namespace papayawheel
