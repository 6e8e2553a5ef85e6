#pragma once

namespace papayawheel {

/** How one attempt at an endpoint ended. */
enum class EndpointResult {
  /** The answer arrived completely. */
  Answered,
  /** The endpoint reported that it did not accept the request. */
  Shed,
  /** No connection was made, so nothing was sent. */
  NotConnected,
  /** The connection broke after the request was sent. */
  Lost,
  /** The answer was truncated or its length was wrong. */
  Cut,
  /** The deadline passed without an answer. */
  TimedOut,
};

}  // namespace papayawheel
