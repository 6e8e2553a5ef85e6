#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/clock.h"
#include "core/limits/share_split.h"

namespace papayawheel {

/** Estimates how much quota other hosts have left in their shares, from the
 * calls that this host forwarded to them and from their refusals. The estimate
 * only chooses where to forward a call; the other host decides whether it
 * admits it. */
class RemoteShareEstimator {
 public:
  /** Returns the share holder whose bucket is estimated to be full again
   * soonest, or nothing if no holder is estimated to have a token left.
   * @param aSkipped holders that must not be chosen. */
  [[nodiscard]] std::optional<std::string> BestHolder(
      const std::string& aCustomer, const ShareSplit& aSplit,
      const std::vector<std::string>& aSkipped, TimePoint aNow) const;

  /** A call was forwarded to a share holder.
   * @param aShare the share of that holder. */
  void Forwarded(const std::string& aCustomer, const std::string& aHolder,
                 const Share& aShare, TimePoint aNow);

  /** A share holder refused a call and returned the time to wait. */
  void Refused(const std::string& aCustomer, const std::string& aHolder,
               const Share& aShare, Duration aRetryAfter, TimePoint aNow);

  /** Removes the estimates of shares that are full again. */
  void Tick(TimePoint aNow);

 private:
  /** Customer and share holder. */
  using Key = std::pair<std::string, std::string>;

  /** When the token bucket of a share will be full again if no more calls
   * arrive. Shares without an entry are taken to be full. */
  std::map<Key, TimePoint> mFullAt;
};

}  // namespace papayawheel
