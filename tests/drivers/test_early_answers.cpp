// Answers that arrive while a long request is still being written, and whose
// connection ends before the endpoint has read the request.

#include <doctest/doctest.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/endpoint_client.h"
#include "drivers/http_client.h"

namespace papayawheel {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyBytes = 12U << 20U;

/** What an endpoint does after its answer, before it has read the request. */
enum class Ending {
  /** Resets the connection. */
  Reset,
  /** Ends its side and reads the rest of the request. */
  EndAndRead,
  /** Ends its side and resets the connection a moment later. */
  EndAndReset,
  /** Ends its side and does not read on. */
  EndAndHold,
};

struct Case {
  std::string mWhat;
  std::string mAnswer;
  Ending mEnding;
  /** Time between the answer and the ending. */
  milliseconds mPause;
  EndpointOutcome mOutcome;
  std::string mBody;
};

std::vector<Case> Cases() {
  using Outcome = EndpointOutcome;
  constexpr milliseconds kNone{0};
  constexpr milliseconds kMoment{50};
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string part = head + "\r\npart";
  const std::string all = head + "\r\nall";
  const std::string sized = head + "Content-Length: 3\r\n\r\n";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n";
  const std::string refusal = "HTTP/1.1 413 Too Long\r\n";
  return {
      {"no length, reset with the answer", part, Ending::Reset, kNone,
       Outcome::Garbled, ""},
      {"no length, reset after the part was read", part, Ending::Reset, kMoment,
       Outcome::Garbled, ""},
      {"a refusal without length, reset", refusal + "\r\npart", Ending::Reset,
       kNone, Outcome::Garbled, ""},
      {"no length, ended and then reset", part, Ending::EndAndReset, kNone,
       Outcome::Garbled, ""},
      {"a part of the length, reset", sized + "pa", Ending::Reset, kNone,
       Outcome::Garbled, ""},
      {"chunks without the last one, reset", chunked, Ending::Reset, kNone,
       Outcome::Garbled, ""},
      {"an interim answer only, reset", "HTTP/1.1 100 Continue\r\n\r\n",
       Ending::Reset, kNone, Outcome::Garbled, ""},
      {"no byte, reset", "", Ending::Reset, kNone, Outcome::Lost, ""},
      // Whole answers are delivered whatever becomes of the connection.
      {"all of the length, reset", sized + "all", Ending::Reset, kNone,
       Outcome::Answered, "all"},
      {"all of the length, reset after it was read", sized + "all",
       Ending::Reset, kMoment, Outcome::Answered, "all"},
      {"chunks with the last one, reset", chunked + "0\r\n\r\n", Ending::Reset,
       kNone, Outcome::Answered, "all"},
      {"a refusal with length, reset", refusal + "Content-Length: 3\r\n\r\nall",
       Ending::Reset, kNone, Outcome::Answered, "all"},
      {"a status without body, reset", "HTTP/1.1 204 None\r\n\r\n",
       Ending::Reset, kNone, Outcome::Answered, ""},
      {"no length, ended and the request read", all, Ending::EndAndRead, kNone,
       Outcome::Answered, "all"},
      {"a refusal without length, ended and the request read",
       refusal + "\r\nall", Ending::EndAndRead, kMoment, Outcome::Answered,
       "all"},
      {"no length, ended and nothing read", all, Ending::EndAndHold, kNone,
       Outcome::Answered, "all"},
  };
}

/** Answers one long request as soon as its first bytes arrive. */
class EarlyEndpoint {
 public:
  EarlyEndpoint(asio::io_context& aContext, const Case& aCase)
      : mAcceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        mSocket(aContext),
        mTimer(aContext),
        mCase(aCase) {
    mAcceptor.set_option(asio::socket_base::receive_buffer_size(65536));
    mAcceptor.async_accept(mSocket, [this](asio::error_code) {
      mSocket.async_read_some(
          asio::buffer(mInput),
          [this](asio::error_code, std::size_t) { Answer(); });
    });
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

 private:
  void Answer() {
    asio::write(mSocket, asio::buffer(mCase.mAnswer));
    if (mCase.mPause == milliseconds(0)) {
      End();
      return;
    }
    mTimer.expires_after(mCase.mPause);
    mTimer.async_wait([this](asio::error_code) { End(); });
  }

  void End() {
    if (mCase.mEnding == Ending::Reset) {
      Reset();
      return;
    }
    mSocket.shutdown(tcp::socket::shutdown_send);
    if (mCase.mEnding == Ending::EndAndRead) {
      ReadOn();
    } else if (mCase.mEnding == Ending::EndAndReset) {
      mTimer.expires_after(milliseconds(20));
      mTimer.async_wait([this](asio::error_code) { Reset(); });
    }
  }

  void Reset() {
    mSocket.set_option(asio::socket_base::linger(true, 0));
    mSocket.close();
  }

  void ReadOn() {
    mSocket.async_read_some(asio::buffer(mInput),
                            [this](asio::error_code aError, std::size_t) {
                              if (!aError) {
                                ReadOn();
                              }
                            });
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  Case mCase;
  std::array<char, 65536> mInput{};
};

// Guards against a part of an answer that reaches the caller as a whole one,
// because the reset was reported to the write of the request and the next read
// returns an end of file, and against a whole answer that is lost to a reset.
TEST_CASE("endpoint client: an answer before the end of its request") {
  for (const Case& one : Cases()) {
    CAPTURE(one.mWhat);
    asio::io_context context(1);
    EarlyEndpoint endpoint(context, one);
    EndpointClient client(context);
    EndpointRequest request;
    request.mEndpoint = "e";
    request.mAddress = endpoint.Address();
    request.mMethod = "POST";
    request.mBody = std::make_shared<const std::string>(kBodyBytes, 'x');
    std::optional<EndpointAnswer> answer;
    client.Send(request,
                [&answer](const EndpointAnswer& aAnswer) { answer = aAnswer; });
    while (!answer && context.run_one_for(seconds(5)) > 0) {
    }
    REQUIRE(answer);
    CHECK(answer->mOutcome == one.mOutcome);
    CHECK((answer->mResponse != nullptr) ==
          (one.mOutcome == EndpointOutcome::Answered));
    if (answer->mResponse != nullptr) {
      CHECK(answer->mResponse->mBody == one.mBody);
    }
  }
}

// The client for the store, hosts and entries takes no answer as whole whose
// end is that of its connection.
TEST_CASE("http client: an answer before the end of its request") {
  for (const Case& one : Cases()) {
    CAPTURE(one.mWhat);
    asio::io_context context(1);
    EarlyEndpoint endpoint(context, one);
    HttpClient client(context);
    HttpCall call;
    call.mAddress = endpoint.Address();
    call.mMethod = "POST";
    call.mBody = std::string(kBodyBytes, 'x');
    std::optional<HttpResult> result;
    client.Send(call, [&](const HttpResult& aResult) { result = aResult; });
    while (!result && context.run_one_for(seconds(5)) > 0) {
    }
    REQUIRE(result);
    if (one.mOutcome != EndpointOutcome::Answered) {
      CHECK(result->mKind != HttpResultKind::Answered);
    }
    if (result->mKind == HttpResultKind::Answered) {
      CHECK(result->mBody == one.mBody);
    }
  }
}

}  // namespace
}  // namespace papayawheel
