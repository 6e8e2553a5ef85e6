#pragma once

#include <cstddef>

#include "core/base/clock.h"

namespace papayawheel {

/** The published bound on questions to endpoints for their load. */
struct ProbeBudgetTerms {
  /** Questions to each endpoint in a second, of all hosts together. */
  double mPerEndpoint = 60;
};

/** One host's part of the bound for one service. Requests earn questions, and
 * the part of the bound that falls to each host that serves callers limits how
 * fast they are spent, so the sum over all hosts stays within the bound without
 * a message. */
class ProbeBudget {
 public:
  /** @param aSharers hosts that serve callers.
   * @param aEndpoints endpoints of the service. */
  void Configure(const ProbeBudgetTerms& aTerms, std::size_t aSharers,
                 std::size_t aEndpoints, TimePoint aNow);

  /** A request of a caller has arrived. */
  void NoteRequest(TimePoint aNow);

  /** Takes questions from the budget.
   * @return how many may be asked, up to the number that is wanted. */
  std::size_t Take(std::size_t aWanted, TimePoint aNow);

  /** Takes one question that must be asked; what it costs beyond the budget is
   * missing later. */
  void Charge(TimePoint aNow);

  /** Whether no question may be asked now. */
  [[nodiscard]] bool IsExhausted(TimePoint aNow);

 private:
  void Refill(TimePoint aNow);

  /** Questions in a second, of this host. */
  double mRate = 0;
  double mMaxRateTokens = 0;
  double mRateTokens = 0;
  /** Questions that requests have earned. */
  double mEarnedProbes = 0;
  TimePoint mRefilledAt;
};

}  // namespace papayawheel
