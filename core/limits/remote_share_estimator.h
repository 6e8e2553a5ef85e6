#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/clock.h"
#include "core/limits/share_split.h"

namespace papayawheel {

/** What one host believes of the shares that other hosts have left, from the
 * calls that it passed to them and from their refusals. It is only a guess of
 * where to try; the other host decides. */
class RemoteShareEstimator {
 public:
  /** The home that is believed to have most left, or nothing when all are
   * believed to be used up.
   * @param aSkipped homes that must not be chosen. */
  [[nodiscard]] std::optional<std::string> BestHolder(
      const std::string& aCustomer, const ShareSplit& aSplit,
      const std::vector<std::string>& aSkipped, TimePoint aNow) const;

  /** A call was passed to a home. */
  void Forwarded(const std::string& aCustomer, const std::string& aHolder,
                 const Share& aShare, TimePoint aNow);

  /** A home refused a call and named the time to wait. */
  void Refused(const std::string& aCustomer, const std::string& aHolder,
               const Share& aShare, Duration aRetryAfter, TimePoint aNow);

  /** Forgets what no longer matters. */
  void Tick(TimePoint aNow);

 private:
  using Key = std::pair<std::string, std::string>;

  /** When the share would be full again if no more calls came. */
  std::map<Key, TimePoint> mFullAt;
};

}  // namespace papayawheel
