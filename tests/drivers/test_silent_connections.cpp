// Open connections that go silent for good, without a reset, while new ones
// work: between hosts and to the platform's store.

#include <doctest/doctest.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "drivers/http_client.h"

namespace papayawheel {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/** Answers the first request of each connection and no later one. */
class SilentServer {
 public:
  explicit SilentServer(asio::io_context& aContext)
      : mAcceptor(aContext,
                  tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  [[nodiscard]] std::size_t Connections() const { return mConnections.size(); }

 private:
  struct Connection {
    explicit Connection(tcp::socket aSocket) : mSocket(std::move(aSocket)) {}
    tcp::socket mSocket;
    std::array<char, 4096> mInput{};
    bool mHasAnswered = false;
  };

  void Accept() {
    mAcceptor.async_accept([this](asio::error_code aError,
                                  tcp::socket aSocket) {
      if (aError) {
        return;
      }
      mConnections.push_back(std::make_shared<Connection>(std::move(aSocket)));
      Read(mConnections.back());
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& aConnection) {
    aConnection->mSocket.async_read_some(
        asio::buffer(aConnection->mInput),
        [this, aConnection](asio::error_code aError, std::size_t /*aSize*/) {
          if (aError) {
            return;
          }
          if (!aConnection->mHasAnswered) {
            aConnection->mHasAnswered = true;
            asio::write(aConnection->mSocket,
                        asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
          }
          Read(aConnection);
        });
  }

  tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<Connection>> mConnections;
};

HttpResult CallOnce(asio::io_context& aContext, HttpClient& aClient,
                    const HttpCall& aCall) {
  HttpResult result;
  aClient.Send(aCall, [&](const HttpResult& aResult) {
    result = aResult;
    aContext.stop();
  });
  aContext.restart();
  aContext.run();
  return result;
}

// Guards against a pull or a watch that goes on waiting on a connection that is
// silent, and against a next one that is sent on it again.
TEST_CASE("http client: a silent connection costs one call") {
  struct Case {
    const char* mWhat;
    bool mTcpKeepAlive;
    bool mAcceptsCompressed;
  };
  const std::vector<Case> cases = {
      {"between hosts, as a view is pulled", false, true},
      {"to the store, as it is watched", true, false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    asio::io_context context(1);
    SilentServer server(context);
    HttpClient client(context);
    HttpCall call;
    call.mAddress = server.Address();
    call.mTimeout = milliseconds(100);
    call.mTcpKeepAlive = one.mTcpKeepAlive;
    call.mAcceptsCompressed = one.mAcceptsCompressed;
    CHECK(CallOnce(context, client, call).mKind == HttpResultKind::Answered);
    CHECK(CallOnce(context, client, call).mKind == HttpResultKind::TimedOut);
    CHECK(server.Connections() == 1);
    CHECK(CallOnce(context, client, call).mKind == HttpResultKind::Answered);
    CHECK(server.Connections() == 2);
  }
}

}  // namespace
}  // namespace papayawheel
