#include "core/routing/request_classifier.h"

#include <fmt/format.h>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

constexpr std::size_t kMaxKinds = 4096;

/** A kind is long if its mean time is more than this many times the median time
 * of a call. */
constexpr int kLongFactor = 5;

/** Weight of the newest call in the moving average of its kind. */
constexpr double kNewestWeight = 0.2;

}  // namespace

std::uint64_t RequestClassifier::KindOf(const std::string& aCustomer,
                                        const std::string& aMethod,
                                        const std::string& aTarget) {
  return StableHash(fmt::format("{}\n{}\n{}", aCustomer, aMethod,
                                aTarget.substr(0, aTarget.find('?'))));
}

void RequestClassifier::NoteDuration(std::uint64_t aKind, Duration aElapsed) {
  const auto [found, added] = mKinds.try_emplace(aKind);
  Kind& kind = found->second;
  if (added) {
    kind.mMean = aElapsed;
    mRecent.push_front(aKind);
    kind.mRecentPosition = mRecent.begin();
    if (mKinds.size() > kMaxKinds) {
      mKinds.erase(mRecent.back());
      mRecent.pop_back();
    }
    return;
  }
  kind.mMean += std::chrono::duration_cast<Duration>((aElapsed - kind.mMean) *
                                                     kNewestWeight);
  mRecent.splice(mRecent.begin(), mRecent, kind.mRecentPosition);
}

bool RequestClassifier::IsLong(std::uint64_t aKind,
                               Duration aMedianTime) const {
  const auto found = mKinds.find(aKind);
  return found != mKinds.end() && aMedianTime > Duration::zero() &&
         found->second.mMean > aMedianTime * kLongFactor;
}

}  // namespace papayawheel
