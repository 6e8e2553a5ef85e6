#pragma once

#include "core/base/clock.h"

namespace papayawheel {

/** What an endpoint asks of the hosts that call it, beside its load. */
struct EndpointNotice {
  /** It takes no new work until it starts anew. */
  bool mDraining = false;
  /** It wants no request from this host for so long; zero if it did not say. */
  Duration mBackoff{0};
};

}  // namespace papayawheel
