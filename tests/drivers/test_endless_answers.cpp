// Answers without end, as a faulty endpoint, host or store may send them.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/http_client.h"

namespace papayawheel {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Answers each request with a text, then repeats another one until the peer
 * closes the connection. */
class EndlessServer {
 public:
  EndlessServer(asio::io_context& aContext, std::string aBegin,
                const std::string& aRepeated)
      : mAcceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        mBegin(std::move(aBegin)) {
    while (mRepeated.size() < kChunk) {
      mRepeated += aRepeated;
    }
    Accept();
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  /** Connections that the peer has closed. */
  [[nodiscard]] std::size_t Closed() const { return mClosed; }

 private:
  static constexpr std::size_t kChunk = 16384;

  struct Connection {
    explicit Connection(tcp::socket aSocket) : mSocket(std::move(aSocket)) {}
    tcp::socket mSocket;
    std::array<char, 4096> mInput{};
  };

  void Accept() {
    mAcceptor.async_accept([this](asio::error_code aError,
                                  tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto connection = std::make_shared<Connection>(std::move(aSocket));
      connection->mSocket.async_read_some(
          asio::buffer(connection->mInput),
          [this, connection](asio::error_code, std::size_t) {
            Send(connection, mBegin);
          });
      Accept();
    });
  }

  void Send(const std::shared_ptr<Connection>& aConnection,
            const std::string& aText) {
    asio::async_write(
        aConnection->mSocket, asio::buffer(aText),
        [this, aConnection](asio::error_code aError, std::size_t) {
          if (aError) {
            ++mClosed;
            return;
          }
          Send(aConnection, mRepeated);
        });
  }

  tcp::acceptor mAcceptor;
  std::string mBegin;
  std::string mRepeated;
  std::size_t mClosed = 0;
};

struct Case {
  std::string mWhat;
  std::string mBegin;
  std::string mRepeated;
};

std::vector<Case> Cases() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"headers", head, "X-Filler: yyyyyyyyyyyyyyyyyyyyyyyy\r\n"},
      {"one header", head + "X: ", "yyyyyyyyyyyyyyyyyyyyyyyyyyy"},
      {"a status line", "HTTP/1.1 200 ", "yyyyyyyyyyyyyyyyyyyyyyyy"},
      {"a body without length", head + "\r\n", "zzzzzzzzzzzzzzzzzz"},
      {"chunks", chunked, "4\r\nzzzz\r\n"},
      {"a chunk", chunked + "7000000000000000\r\n", "zzzzzzzz"},
      {"the extension of a chunk", chunked + "4;", "zzzzzzzz"},
      {"trailers", chunked + "0\r\n", "X-Filler: yyyyyyyyyyyyyyyyyyyyy\r\n"},
      {"interim answers", head.substr(0, 9) + "100 Continue\r\n\r\n",
       "HTTP/1.1 100 Continue\r\nX-Filler: yyyy\r\n\r\n"},
      {"no answer", "no answer ", "no answer "},
  };
}

// Guards against a process that keeps all that a faulty peer sends and runs out
// of memory.
TEST_CASE("http client: an answer without end is given up") {
  constexpr std::size_t kMaxBody = 1U << 20U;
  constexpr std::size_t kMaxHead = 64U << 10U;
  for (const Case& one : Cases()) {
    CAPTURE(one.mWhat);
    asio::io_context context(1);
    EndlessServer server(context, one.mBegin, one.mRepeated);
    HttpClient client(context);
    HttpCall call;
    call.mAddress = server.Address();
    call.mTimeout = seconds(2);
    call.mMaxAnswer = kMaxBody;
    std::optional<HttpResult> result;
    client.Send(call, [&](const HttpResult& aResult) { result = aResult; });
    context.run_for(seconds(3));
    REQUIRE(result);
    CHECK(result->mKind != HttpResultKind::Answered);
    CHECK(result->mBody.size() <= kMaxBody);
    std::size_t head = 0;
    for (const auto& [name, value] : result->mAllHeaders) {
      head += name.size() + value.size();
    }
    CHECK(head <= kMaxHead);
    CHECK(server.Closed() == 1);
  }
}

TEST_CASE("http client: many answers without end share a limit") {
  constexpr std::size_t kCalls = 8;
  constexpr std::size_t kMaxAlone = 16U << 20U;
  asio::io_context context(1);
  EndlessServer server(context, "HTTP/1.1 200 OK\r\n\r\n", "zzzzzzzz");
  HttpClient client(context);
  HttpCall call;
  call.mAddress = server.Address();
  call.mTimeout = seconds(3);
  std::size_t fewestBytes = kMaxAlone;
  std::size_t ended = 0;
  for (std::size_t count = 0; count < kCalls; ++count) {
    client.Send(call, [&](const HttpResult& aResult) {
      CHECK(aResult.mKind != HttpResultKind::Answered);
      fewestBytes = std::min(fewestBytes, aResult.mBody.size());
      ++ended;
    });
  }
  while (ended < kCalls && context.run_one_for(seconds(4)) > 0) {
  }
  CHECK(ended == kCalls);
  // The first ones are given up long before they reach the limit of one answer.
  CHECK(fewestBytes < kMaxAlone / 2);
}

}  // namespace
}  // namespace papayawheel
