#pragma once

#include <cstdint>

namespace papayawheel {

/** Who was met at the address of an endpoint. */
enum class EndpointLiveness : std::uint8_t {
  /** No word came in time, or the connection broke: it may live or not. */
  Unknown,
  /** The endpoint itself answered. */
  Alive,
  /** Another endpoint answered, so the one that was meant has ended. */
  Replaced,
  /** Connections are refused: no program listens there. */
  Refused,
};

}  // namespace papayawheel
