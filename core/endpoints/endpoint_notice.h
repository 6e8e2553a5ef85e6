#pragma once

#include <cstdint>
#include <optional>

#include "core/base/clock.h"

namespace papayawheel {

/** What an endpoint answered. */
enum class NoticeSource : std::uint8_t {
  /** It did not answer. */
  None,
  /** A request. Each such answer names the limit that is in force. */
  Request,
  /** A probe. The endpoints of some services name their limit there, too. */
  Probe,
};

/** Flow control by an endpoint, in the headers of an answer: whether it is
 * draining, for how long it must get no requests, and how many it accepts. */
struct EndpointNotice {
  /** The endpoint accepts no new requests until it restarts. */
  bool mDraining = false;
  /** Time during which this host must send it no requests; zero if the endpoint
   * requested no backoff. */
  Duration mBackoff{0};
  /** Requests per second that the endpoint accepts from all hosts together;
   * empty if the answer names no limit. */
  std::optional<double> mLimit = std::nullopt;
  NoticeSource mSource = NoticeSource::None;
  /** For how long the endpoint is still cold; zero if it is warm, empty if the
   * answer does not say. */
  std::optional<Duration> mColdFor = std::nullopt;
};

}  // namespace papayawheel
