#pragma once

#include <cstddef>

#include "core/base/clock.h"

namespace papayawheel {

/** The published bound on load probes. */
struct ProbeBudgetTerms {
  /** Probes a second to each endpoint, over all hosts. */
  double mPerEndpoint = 60;
};

/** One host's share of the probe bound of a service. Requests earn probes, and
 * a token bucket filled at the host's share of the bound limits how fast they
 * are sent. So the sum over all hosts stays within the bound without
 * communication.
 */
class ProbeBudget {
 public:
  /** @param aHosts number of hosts that serve callers.
   * @param aEndpoints number of endpoints of the service. */
  void Configure(const ProbeBudgetTerms& aTerms, std::size_t aHosts,
                 std::size_t aEndpoints, TimePoint aNow);

  /** A request of a caller has arrived. */
  void NoteRequest(TimePoint aNow);

  /** Takes probes from the budget.
   * @return the number of probes that may be sent, at most aWanted. */
  std::size_t Take(std::size_t aWanted, TimePoint aNow);

  /** Takes one probe that must be sent even if the budget is exhausted. The
   * budget may become negative. */
  void Charge(TimePoint aNow);

  /** Whether no probe may be sent now. */
  [[nodiscard]] bool IsExhausted(TimePoint aNow);

 private:
  void Refill(TimePoint aNow);

  /** Probes a second, of this host. */
  double mRate = 0;
  /** The token bucket, in probes. */
  double mMaxRateTokens = 0;
  double mRateTokens = 0;
  /** Probes earned by requests. */
  double mEarnedProbes = 0;
  TimePoint mRefilledAt;
};

}  // namespace papayawheel
