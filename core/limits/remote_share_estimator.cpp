#include "core/limits/remote_share_estimator.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** The time in which a share gains a number of tokens. */
TimePoint::duration Tokens(double aCount, const Share& aShare) {
  return std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(aCount / aShare.mRatePerSecond));
}

}  // namespace

std::optional<std::string> RemoteShareEstimator::BestHolder(
    const std::string& aCustomer, const ShareSplit& aSplit,
    const std::vector<std::string>& aSkipped, TimePoint aNow) const {
  std::optional<std::string> best;
  TimePoint bestFullAt;
  for (const std::string& holder : aSplit.mHolders) {
    if (std::find(aSkipped.begin(), aSkipped.end(), holder) != aSkipped.end()) {
      continue;
    }
    const auto known = mFullAt.find(Key(aCustomer, holder));
    const TimePoint fullAt =
        known == mFullAt.end() ? aNow : std::max(known->second, aNow);
    const Share share = aSplit.ShareOf(holder);
    // A full bucket holds mBurst tokens. The bucket holds at least one token
    // once no more than mBurst - 1 are left to refill.
    const bool hasToken = fullAt - Tokens(share.mBurst - 1.0, share) <= aNow;
    if (hasToken && (!best || fullAt < bestFullAt)) {
      best = holder;
      bestFullAt = fullAt;
    }
  }
  return best;
}

void RemoteShareEstimator::Forwarded(const std::string& aCustomer,
                                     const std::string& aHolder,
                                     const Share& aShare, TimePoint aNow) {
  TimePoint& fullAt = mFullAt[Key(aCustomer, aHolder)];
  fullAt = std::max(fullAt, aNow) + Tokens(1, aShare);
}

void RemoteShareEstimator::Refused(const std::string& aCustomer,
                                   const std::string& aHolder,
                                   const Share& aShare, Duration aRetryAfter,
                                   TimePoint aNow) {
  mFullAt[Key(aCustomer, aHolder)] =
      aNow + aRetryAfter + Tokens(aShare.mBurst - 1.0, aShare);
}

void RemoteShareEstimator::Tick(TimePoint aNow) {
  std::erase_if(mFullAt,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

}  // namespace papayawheel
