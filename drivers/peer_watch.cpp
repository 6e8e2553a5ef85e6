#include "drivers/peer_watch.h"

namespace papayawheel {
namespace {

/** Checks are counted, rather than time, because this process may be suspended
 * for longer than the limit: 1.5 s. */
constexpr int kMaxSilentChecks = 6;

}  // namespace

bool PeerWatch::Check(const SendState& aState) {
  const bool isSilent = aState.mAwaitsAck && aState.mSinceAck >= kInterval;
  mSilentChecks = isSilent ? mSilentChecks + 1 : 0;
  return mSilentChecks >= kMaxSilentChecks;
}

}  // namespace papayawheel
