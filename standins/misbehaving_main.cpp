// Stands in for an endpoint that violates HTTP. The request target selects the
// violation.

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <istream>
#include <memory>
#include <optional>
#include <string>

#include "core/config/address.h"
#include "drivers/program_settings.h"
#include "standins/misbehaving_scripts.h"

namespace {

using namespace papayawheel;
using asio::ip::tcp;

/** Answers the requests on one connection. */
class Session : public std::enable_shared_from_this<Session> {
 public:
  explicit Session(tcp::socket aSocket)
      : mSocket(std::move(aSocket)), mTimer(mSocket.get_executor()) {}

  void Read() {
    auto self = shared_from_this();
    asio::async_read_until(mSocket, mInput, "\r\n\r\n",
                           [self](asio::error_code aError, std::size_t aSize) {
                             if (!aError) {
                               self->Answer(aSize);
                             }
                           });
  }

 private:
  void Answer(std::size_t aSize) {
    std::istream input(&mInput);
    std::string method;
    std::string target;
    input >> method >> target;
    std::string rest(aSize, ' ');
    const auto read = method.size() + target.size() + 1;
    input.read(rest.data(), static_cast<std::streamsize>(aSize - read));
    mScript = ScriptFor(target);
    auto self = shared_from_this();
    asio::async_write(mSocket, asio::buffer(mScript.mText),
                      [self](asio::error_code aError, std::size_t) {
                        if (aError || self->mScript.mClose) {
                          return;
                        }
                        if (self->mScript.mReset) {
                          self->Reset();
                          return;
                        }
                        if (self->mScript.mEndless.empty()) {
                          self->Read();
                        } else {
                          self->Repeat();
                        }
                      });
  }

  void Reset() {
    asio::error_code ignored;
    // With a linger time of 0, closing the socket resets the connection.
    mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    mSocket.close(ignored);
  }

  /** Sends mEndless until the peer closes the connection. Without a pause, it
   * is first made longer for writes of kMinWriteBytes or more. */
  void Repeat() {
    constexpr std::size_t kMinWriteBytes = 16384;
    const bool hasPause = mScript.mPause.count() > 0;
    while (!hasPause && mScript.mEndless.size() < kMinWriteBytes) {
      mScript.mEndless += mScript.mEndless;
    }
    auto self = shared_from_this();
    mTimer.expires_after(mScript.mPause);
    mTimer.async_wait([self](asio::error_code) {
      asio::async_write(self->mSocket, asio::buffer(self->mScript.mEndless),
                        [self](asio::error_code aError, std::size_t) {
                          if (!aError) {
                            self->Repeat();
                          }
                        });
    });
  }

  tcp::socket mSocket;
  asio::steady_timer mTimer;
  asio::streambuf mInput;
  AnswerScript mScript;
};

void Accept(tcp::acceptor& aAcceptor) {
  aAcceptor.async_accept(
      [&aAcceptor](asio::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          std::make_shared<Session>(std::move(aSocket))->Read();
        }
        Accept(aAcceptor);
      });
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-standin-misbehaving",
                           "stands in for an endpoint that breaks HTTP");
  settings.Add("address", std::nullopt, "IP number and port to listen on",
               CheckAddress);
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  const Address address = *ParseAddress(settings.Text("address"));
  asio::io_context context(1);
  tcp::acceptor acceptor(
      context,
      tcp::endpoint(asio::ip::make_address(address.mIp), address.mPort));
  Accept(acceptor);
  context.run();
  return kExitOk;
}
