#pragma once

#include <chrono>

#include "drivers/send_state.h"

namespace papayawheel {

/** Decides whether the peer of a connection is unreachable. A peer that keeps
 * its window closed is not, as long as it acknowledges probes; the system's
 * TCP_USER_TIMEOUT ends connections to both. */
class PeerWatch {
 public:
  /** Time between two checks. */
  static constexpr std::chrono::milliseconds kInterval{250};

  /** Returns whether the peer is unreachable. Called once an interval while
   * bytes are unacknowledged. */
  bool Check(const SendState& aState);

 private:
  /** Consecutive checks without an acknowledgement that was due. */
  int mSilentChecks = 0;
};

}  // namespace papayawheel
