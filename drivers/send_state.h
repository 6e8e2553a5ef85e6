#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace papayawheel {

/** What the system knows of the bytes sent on a TCP connection. */
struct SendState {
  /** Bytes, sent or still to send, that the peer has not acknowledged. */
  std::size_t mUnacknowledged = 0;
  /** Whether data or a probe of the peer's window was sent after the peer's
   * last acknowledgement. */
  bool mAwaitsAck = false;
  /** Time since the peer's last acknowledgement. */
  std::chrono::milliseconds mSinceAck{0};
};

/** Returns the state of a connection; empty if the system does not tell it. */
std::optional<SendState> ReadSendState(int aSocket);

}  // namespace papayawheel
