#pragma once

#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/warm_up_limit.h"

namespace papayawheel {

/** The hosts of the fleet that this host knows, and since when they may be
 * taken for all of them. */
class KnownHosts {
 public:
  /** The host has started, or resumed after a suspension: others may have
   * joined that it does not know.
   * @param aSelf its name. */
  void Start(const std::string& aSelf, TimePoint aNow);

  /** Sets the names of all known hosts, reachable or not, with this one.
   * Returns whether anything has changed. */
  bool Update(std::vector<std::string> aNames, TimePoint aNow);

  [[nodiscard]] const WarmUpSharers& Sharers() const { return mSharers; }

 private:
  WarmUpSharers mSharers;
};

}  // namespace papayawheel
