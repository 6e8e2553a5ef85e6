#pragma once

namespace papayawheel {

/** How one attempt at an endpoint ended. */
enum class EndpointResult {
  /** The whole answer arrived. */
  Answered,
  /** The endpoint said that it did not take the request. */
  Shed,
  /** No connection was made, so nothing was sent. */
  NotConnected,
  /** The connection broke after the request was sent. */
  Lost,
  /** The answer broke off or its length was wrong. */
  Cut,
  /** The deadline passed without an answer. */
  TimedOut,
};

}  // namespace papayawheel
