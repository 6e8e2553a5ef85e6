#include "drivers/send_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace papayawheel {

std::optional<SendState> ReadSendState(int aSocket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  int unacknowledged = 0;
  if (getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
      ioctl(aSocket, SIOCOUTQ, &unacknowledged) != 0) {
    return std::nullopt;
  }
  SendState state;
  state.mUnacknowledged = static_cast<std::size_t>(unacknowledged);
  // A peer with a closed window acknowledges each probe, but it may also drop
  // data that arrives. Only what was sent after its last acknowledgement
  // counts.
  state.mAwaitsAck = info.tcpi_probes > 0 ||
                     (info.tcpi_unacked > 0 &&
                      info.tcpi_last_data_sent < info.tcpi_last_ack_recv);
  state.mSinceAck = std::chrono::milliseconds(info.tcpi_last_ack_recv);
  return state;
}

}  // namespace papayawheel
