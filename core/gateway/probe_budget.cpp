#include "core/gateway/probe_budget.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** Fraction of the bound that is used. The rest keeps hosts that do not know of
 * each other yet within the bound. */
constexpr double kUsableFraction = 0.5;

/** Seconds of unused rate that accumulate. */
constexpr double kBurstSeconds = 4;

/** Probes that each request earns, and the maximum that accumulates. */
constexpr double kProbesPerRequest = 1.8;
constexpr double kMaxEarnedProbes = 12;

/** Fraction of the rate that is earned without requests, so that calls that
 * wait long in the queue still get fresh load samples. */
constexpr double kBaselineFraction = 0.1;

}  // namespace

void ProbeBudget::Configure(const ProbeBudgetTerms& aTerms, std::size_t aHosts,
                            std::size_t aEndpoints, TimePoint aNow) {
  Refill(aNow);
  const double hosts = static_cast<double>(std::max<std::size_t>(1, aHosts));
  mRate = kUsableFraction * aTerms.mPerEndpoint *
          static_cast<double>(aEndpoints) / hosts;
  const bool isFirst = mMaxRateTokens == 0;
  mMaxRateTokens = std::max(1.0, mRate * kBurstSeconds);
  mRateTokens =
      isFirst ? mMaxRateTokens : std::min(mRateTokens, mMaxRateTokens);
  mEarnedProbes = isFirst ? kMaxEarnedProbes : mEarnedProbes;
}

void ProbeBudget::NoteRequest(TimePoint aNow) {
  Refill(aNow);
  mEarnedProbes = std::min(kMaxEarnedProbes, mEarnedProbes + kProbesPerRequest);
}

std::size_t ProbeBudget::Take(std::size_t aWanted, TimePoint aNow) {
  Refill(aNow);
  const double allowed = std::max(0.0, std::min(mRateTokens, mEarnedProbes));
  const std::size_t taken =
      std::min(aWanted, static_cast<std::size_t>(allowed));
  mRateTokens -= static_cast<double>(taken);
  mEarnedProbes -= static_cast<double>(taken);
  return taken;
}

void ProbeBudget::Charge(TimePoint aNow) {
  Refill(aNow);
  mRateTokens -= 1;
  mEarnedProbes -= 1;
}

bool ProbeBudget::IsExhausted(TimePoint aNow) {
  Refill(aNow);
  return std::min(mRateTokens, mEarnedProbes) < 1;
}

void ProbeBudget::Refill(TimePoint aNow) {
  const double passed =
      std::chrono::duration<double>(aNow - mRefilledAt).count();
  mRefilledAt = aNow;
  mRateTokens = std::min(mMaxRateTokens, mRateTokens + passed * mRate);
  mEarnedProbes = std::min(kMaxEarnedProbes,
                           mEarnedProbes + passed * mRate * kBaselineFraction);
}

}  // namespace papayawheel
