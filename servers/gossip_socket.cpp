#include "servers/gossip_socket.h"

#include <fmt/format.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

#include "core/config/address.h"
#include "drivers/log.h"
#include "servers/gossip_codec.h"

namespace papayawheel {
namespace {

/** Datagrams that are read before one of them is handled. */
constexpr std::size_t kMaxReads = 512;

/** Interval of the log lines about dropped datagrams. */
constexpr std::chrono::milliseconds kMinDropLogInterval{1000};

}  // namespace

GossipSocket::GossipSocket(asio::io_context& aContext, const Clock& aClock,
                           ControlCounts& aCounts, Handler aHandler)
    : mContext(aContext),
      mClock(aClock),
      mCounts(aCounts),
      mHandler(std::move(aHandler)),
      mSocket(aContext),
      mInbox(aClock.Now()) {}

bool GossipSocket::Open(const std::string& aIp, std::uint16_t aPort) {
  asio::error_code error;
  const asio::ip::udp::endpoint local(asio::ip::make_address_v4(aIp, error),
                                      aPort);
  mSocket.open(asio::ip::udp::v4(), error);
  if (!error) {
    mSocket.bind(local, error);
  }
  if (!error) {
    mSocket.non_blocking(true, error);
  }
  if (error) {
    mLastError =
        fmt::format("cannot open gossip port {}: {}", aPort, error.message());
    return false;
  }
  AwaitDatagrams();
  return true;
}

void GossipSocket::Send(const Datagrams& aDatagrams) {
  // A broadcast sends one message to many hosts, which is encoded once.
  const GossipMessage* encoded = nullptr;
  std::string text;
  for (const Datagram& datagram : aDatagrams) {
    const auto address = ParseAddress(datagram.mAddress);
    asio::error_code error;
    const auto ip =
        asio::ip::make_address_v4(address ? address->mIp : "", error);
    if (!address || error) {
      continue;
    }
    if (encoded == nullptr || *encoded != datagram.mMessage) {
      encoded = &datagram.mMessage;
      text = EncodeGossip(datagram.mMessage);
    }
    ++mCounts.mDatagramsSent;
    mSocket.send_to(asio::buffer(text),
                    asio::ip::udp::endpoint(ip, address->mPort), 0, error);
  }
}

void GossipSocket::AwaitDatagrams() {
  mSocket.async_wait(asio::ip::udp::socket::wait_read,
                     [this](asio::error_code aError) {
                       if (aError == asio::error::operation_aborted) {
                         return;
                       }
                       Read();
                       AwaitDatagrams();
                     });
}

void GossipSocket::Read() {
  for (std::size_t read = 0; read < kMaxReads; ++read) {
    const TimePoint before = mClock.Now();
    asio::error_code error;
    const std::size_t size =
        mSocket.receive_from(asio::buffer(mBuffer), mRemoteEndpoint, 0, error);
    if (error == asio::error::would_block) {
      mInbox.NoteSocketEmpty(before);
      break;
    }
    if (!error) {
      mInbox.Add(std::string(mBuffer.data(), size));
    }
  }
  NoteDropped();
  if (!mInbox.IsEmpty() && !mHandles) {
    mHandles = true;
    asio::post(mContext, [this] { HandleNext(); });
  }
}

void GossipSocket::HandleNext() {
  mHandles = false;
  const auto next = mInbox.Take();
  // Also schedules the next one, before this one is handled, so that an
  // exception does not end the handling.
  Read();
  if (next) {
    ++mCounts.mDatagramsReceived;
    mHandler(next->mDatagram, next->mArrivedAfter);
  }
}

void GossipSocket::NoteDropped() {
  const std::uint64_t dropped = mInbox.Dropped();
  if (dropped == mCounts.mDatagramsDropped) {
    return;
  }
  const TimePoint now = mClock.Now();
  if (now - mDropsLoggedAt < kMinDropLogInterval) {
    return;
  }
  mDropsLoggedAt = now;
  Log(LogLevel::Warning, "datagrams_dropped",
      {{"count", dropped - mCounts.mDatagramsDropped}, {"total", dropped}});
  mCounts.mDatagramsDropped = dropped;
}

}  // namespace papayawheel
