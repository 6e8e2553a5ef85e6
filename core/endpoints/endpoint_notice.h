#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** Requests of an endpoint to its callers, sent with an answer: to stop
 * sending, or to pause for a time. */
struct EndpointNotice {
  /** The endpoint accepts no new requests until it restarts. */
  bool mDraining = false;
  /** Time during which this host must send it no requests; zero if the endpoint
   * requested no backoff. */
  Duration mBackoff{0};
};

}  // namespace papayawheel
