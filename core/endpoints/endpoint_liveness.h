#pragma once

#include <cstdint>

namespace papayawheel {

/** Which process, if any, answered at the address of an endpoint. */
enum class EndpointLiveness : std::uint8_t {
  /** No answer arrived in time or the connection broke, so the endpoint may
   * or may not be running. */
  Unknown,
  /** The expected endpoint answered. */
  Alive,
  /** A different endpoint answered, so the expected one has ended. */
  Replaced,
  /** The connection was refused: no process listens at the address. */
  Refused,
};

}  // namespace papayawheel
