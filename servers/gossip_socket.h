#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "core/base/clock.h"
#include "core/gossip/datagram_inbox.h"
#include "core/gossip/gossip_message.h"
#include "servers/control_counts.h"

namespace papayawheel {

/** Sends and receives the datagrams of gossip on the thread that runs an I/O
 * context. Datagrams are read as soon as that thread runs and handled one after
 * the other, with other events between them. */
class GossipSocket {
 public:
  /** Handles a datagram.
   * @param aArrivedAfter a time before it arrived. */
  using Handler = std::function<void(const std::string& aDatagram,
                                     TimePoint aArrivedAfter)>;

  /** @param aCounts where datagrams are counted. */
  GossipSocket(asio::io_context& aContext, const Clock& aClock,
               ControlCounts& aCounts, Handler aHandler);
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  /** Starts receiving. Returns false if the address cannot be used; LastError()
   * then returns the reason. */
  bool Open(const std::string& aIp, std::uint16_t aPort);
  /** Errors are ignored: gossip tolerates lost datagrams. */
  void Send(const Datagrams& aDatagrams);
  /** Reads the datagrams that have arrived. Must be called regularly, as
   * datagrams count as having arrived when the socket was last found empty. */
  void Read();

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  void AwaitDatagrams();
  void HandleNext();
  /** Counts and logs datagrams that were dropped as too many waited. */
  void NoteDropped();

  asio::io_context& mContext;
  const Clock& mClock;
  ControlCounts& mCounts;
  Handler mHandler;
  asio::ip::udp::socket mSocket;
  asio::ip::udp::endpoint mRemoteEndpoint;
  std::array<char, 65536> mBuffer{};
  DatagramInbox<std::string> mInbox;
  /** Whether HandleNext() is scheduled. */
  bool mHandles = false;
  TimePoint mDropsLoggedAt;
  std::string mLastError;
};

}  // namespace papayawheel
