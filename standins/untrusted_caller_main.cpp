// Stands in for untrusted callers of a host: opens connections and sends on
// each of them what the settings select, without caring for the answers.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "core/config/address.h"
#include "drivers/program_settings.h"

namespace {

using namespace papayawheel;
using asio::ip::tcp;
using std::chrono::milliseconds;

/** Small chunks are grouped into writes of about this size. */
constexpr std::size_t kWriteBytes = 64U << 10U;
constexpr int kSmallReceiveBuffer = 4096;

struct Behaviour {
  /** "body", "chunked", "head", "requests" or "silent". */
  std::string mKind;
  std::string mTarget;
  /** Announced length of the body. */
  std::size_t mAnnounced = 0;
  /** Bytes of the body that are sent, or the number of requests. */
  std::size_t mSent = 0;
  /** Bytes of one piece or chunk. */
  std::size_t mPiece = 0;
  milliseconds mPause{0};
  /** Bytes of answers that are read per second; 0 for none, -1 for all. */
  std::int64_t mReadRate = -1;
};

struct Counts {
  std::size_t mOpened = 0;
  std::size_t mClosed = 0;
  std::size_t mBytes = 0;
};

/** One connection of an untrusted caller. */
class UntrustedCaller : public std::enable_shared_from_this<UntrustedCaller> {
 public:
  UntrustedCaller(asio::io_context& aContext, const Behaviour& aBehaviour,
                  Counts& aCounts)
      : mBehaviour(aBehaviour),
        mCounts(aCounts),
        mSocket(aContext),
        mSendTimer(aContext),
        mReadTimer(aContext) {}

  void Start(const tcp::endpoint& aAddress) {
    mSocket.open(tcp::v4());
    if (mBehaviour.mReadRate >= 0) {
      mSocket.set_option(
          asio::socket_base::receive_buffer_size(kSmallReceiveBuffer));
    }
    mSocket.async_connect(
        aAddress, [self = shared_from_this()](const asio::error_code& aError) {
          if (aError) {
            ++self->mCounts.mClosed;
            return;
          }
          ++self->mCounts.mOpened;
          self->mPending = self->Head();
          self->Write();
          if (self->mBehaviour.mReadRate != 0) {
            self->Read();
          }
        });
  }

 private:
  [[nodiscard]] std::string Head() const {
    const bool isUpload =
        mBehaviour.mKind == "body" || mBehaviour.mKind == "chunked";
    std::string head = fmt::format(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\n"
        "Papayawheel-Request-Id: untrusted\r\n"
        "Papayawheel-Deadline-Ms: 4000\r\n",
        isUpload ? "POST" : "GET", mBehaviour.mTarget);
    if (mBehaviour.mKind == "body") {
      head += fmt::format("Content-Length: {}\r\n\r\n", mBehaviour.mAnnounced);
    } else if (mBehaviour.mKind == "chunked") {
      head += "Transfer-Encoding: chunked\r\n\r\n";
    } else if (mBehaviour.mKind == "head") {
      head += "X-Filler: ";
    } else {
      return "";
    }
    return head;
  }

  /** Returns what is sent next; empty at the end. */
  std::string NextPiece() {
    if (mDone >= mBehaviour.mSent) {
      return "";
    }
    if (mBehaviour.mKind == "requests") {
      ++mDone;
      return fmt::format(
          "GET {} HTTP/1.1\r\nHost: shop.example\r\n"
          "Papayawheel-Request-Id: untrusted\r\n\r\n",
          mBehaviour.mTarget);
    }
    if (mBehaviour.mKind == "silent") {
      return "";
    }
    std::string text;
    do {
      const std::size_t size =
          std::min(mBehaviour.mPiece, mBehaviour.mSent - mDone);
      mDone += size;
      if (mBehaviour.mKind == "chunked") {
        text += fmt::format("{:x}\r\n", size);
        text.append(size, 'x');
        text += "\r\n";
      } else {
        text.append(size, 'x');
      }
    } while (mBehaviour.mPause.count() == 0 && text.size() < kWriteBytes &&
             mDone < mBehaviour.mSent);
    return text;
  }

  void Write() {
    if (mPending.empty()) {
      mPending = NextPiece();
    }
    if (mPending.empty()) {
      return;
    }
    asio::async_write(
        mSocket, asio::buffer(mPending),
        [self = shared_from_this()](const asio::error_code& aError,
                                    std::size_t aSize) {
          self->mCounts.mBytes += aSize;
          if (aError) {
            self->Close();
            return;
          }
          self->mPending.clear();
          self->mSendTimer.expires_after(self->mBehaviour.mPause);
          self->mSendTimer.async_wait([self](const asio::error_code& aWait) {
            if (!aWait) {
              self->Write();
            }
          });
        });
  }

  void Read() {
    const std::size_t limit =
        mBehaviour.mReadRate < 0
            ? mBuffer.size()
            : std::min<std::size_t>(mBuffer.size(), mBehaviour.mReadRate);
    mSocket.async_read_some(
        asio::buffer(mBuffer, limit),
        [self = shared_from_this()](const asio::error_code& aError,
                                    std::size_t /*aSize*/) {
          if (aError) {
            self->Close();
            return;
          }
          if (self->mBehaviour.mReadRate < 0) {
            self->Read();
            return;
          }
          self->mReadTimer.expires_after(std::chrono::seconds(1));
          self->mReadTimer.async_wait([self](const asio::error_code& aWait) {
            if (!aWait) {
              self->Read();
            }
          });
        });
  }

  void Close() {
    if (mSocket.is_open()) {
      ++mCounts.mClosed;
      asio::error_code ignored;
      mSocket.close(ignored);
    }
  }

  const Behaviour& mBehaviour;
  Counts& mCounts;
  tcp::socket mSocket;
  asio::steady_timer mSendTimer;
  asio::steady_timer mReadTimer;
  std::string mPending;
  std::size_t mDone = 0;
  std::array<char, 16'384> mBuffer{};
};

}  // namespace

int main(int aCount, char** aArguments) {
  constexpr std::int64_t kMaxBytes = 2'147'483'648;
  constexpr std::int64_t kMaxClients = 1000;
  constexpr std::int64_t kMaxMilliseconds = 60'000;
  ProgramSettings settings("papayawheel-standin-untrusted-caller",
                           "stands in for untrusted callers of a host");
  settings.Add("address", std::nullopt, "IP number and port to connect to",
               CheckAddress);
  settings.Add("kind", std::nullopt,
               "\"body\", \"chunked\", \"head\", \"requests\" or \"silent\"");
  settings.Add("target", "/order/upload", "path and query of the requests");
  settings.AddNumber("clients", 1, 1, kMaxClients, "number of connections");
  settings.AddNumber("announced", 0, 0, kMaxBytes, "announced bytes of a body");
  settings.AddNumber("sent", 0, 0, kMaxBytes,
                     "bytes that are sent, or the number of requests");
  settings.AddNumber("piece", 65'536, 1, kMaxBytes,
                     "bytes of one piece or chunk");
  settings.AddNumber("pause-ms", 0, 0, kMaxMilliseconds,
                     "pause after each piece");
  settings.AddNumber("read-rate", -1, -1, kMaxBytes,
                     "bytes of answers read per second; -1 for all");
  settings.AddNumber("hold-ms", 5000, 1, kMaxMilliseconds,
                     "time until all connections are closed");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  Behaviour behaviour;
  behaviour.mKind = settings.Text("kind");
  behaviour.mTarget = settings.Text("target");
  behaviour.mAnnounced = static_cast<std::size_t>(settings.Number("announced"));
  behaviour.mSent = static_cast<std::size_t>(settings.Number("sent"));
  behaviour.mPiece = static_cast<std::size_t>(settings.Number("piece"));
  behaviour.mPause = milliseconds(settings.Number("pause-ms"));
  behaviour.mReadRate = settings.Number("read-rate");
  const Address address = *ParseAddress(settings.Text("address"));
  const tcp::endpoint target(asio::ip::make_address(address.mIp),
                             address.mPort);
  asio::io_context context(1);
  Counts counts;
  for (std::int64_t n = 0; n < settings.Number("clients"); ++n) {
    std::make_shared<UntrustedCaller>(context, behaviour, counts)
        ->Start(target);
  }
  // Connections stay open also while nothing is sent or read on them.
  const auto work = asio::make_work_guard(context);
  context.run_for(milliseconds(settings.Number("hold-ms")));
  fmt::print("opened={} closed={} bytes={}\n", counts.mOpened, counts.mClosed,
             counts.mBytes);
  return kExitOk;
}
