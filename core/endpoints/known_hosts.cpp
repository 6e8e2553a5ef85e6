#include "core/endpoints/known_hosts.h"

#include <algorithm>
#include <utility>

namespace papayawheel {
namespace {

using std::chrono::seconds;

/** Time in which a host that starts finds the others. One that is alone cannot
 * know that earlier. */
constexpr seconds kStartPeriod{5};

/** A host that has just learnt of many others waits this long for more of them.
 */
constexpr seconds kGrowthPeriod{2};

/** Growth at one time that counts as many. */
constexpr double kLargeGrowth = 1.1;

}  // namespace

void KnownHosts::Start(const std::string& aSelf, TimePoint aNow) {
  mSharers.mSelf = aSelf;
  if (mSharers.mHosts.empty()) {
    mSharers.mHosts.push_back(aSelf);
  }
  mSharers.mSettledAt = aNow + kStartPeriod;
}

bool KnownHosts::Update(std::vector<std::string> aNames, TimePoint aNow) {
  std::sort(aNames.begin(), aNames.end());
  if (aNames == mSharers.mHosts) {
    return false;
  }
  const auto before = static_cast<double>(mSharers.mHosts.size());
  mSharers.mHosts = std::move(aNames);
  if (static_cast<double>(mSharers.mHosts.size()) > before * kLargeGrowth) {
    mSharers.mSettledAt =
        std::max<TimePoint>(mSharers.mSettledAt, aNow + kGrowthPeriod);
  }
  return true;
}

}  // namespace papayawheel
