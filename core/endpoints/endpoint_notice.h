#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** Flow control by an endpoint, in the headers of an answer: whether it is
 * draining, and for how long it must get no requests. */
struct EndpointNotice {
  /** The endpoint accepts no new requests until it restarts. */
  bool mDraining = false;
  /** Time during which this host must send it no requests; zero if the endpoint
   * requested no backoff. */
  Duration mBackoff{0};
};

}  // namespace papayawheel
