#include <doctest/doctest.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "drivers/endpoint_client.h"

namespace papayawheel {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/** Suffix of a scripted text after which the connection is reset instead of
 * closed. */
constexpr std::string_view kReset = "(reset)";

/** An endpoint that answers requests from a script, on the I/O context of the
 * test. */
class ScriptedEndpoint {
 public:
  /** @param aScript the text to write for each request, in order. */
  ScriptedEndpoint(asio::io_context& aContext, std::vector<std::string> aScript,
                   bool aCloseAfterwards)
      : mAcceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        mScript(std::move(aScript)),
        mCloseAfterwards(aCloseAfterwards) {
    Accept();
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  [[nodiscard]] std::size_t Connections() const { return mConnections; }
  [[nodiscard]] std::size_t Requests() const { return mNext; }

 private:
  struct Peer {
    explicit Peer(tcp::socket aSocket) : mSocket(std::move(aSocket)) {}
    tcp::socket mSocket;
    std::string mBuffer = std::string(4096, '\0');
  };

  void Accept() {
    mAcceptor.async_accept([this](asio::error_code aError, tcp::socket aPeer) {
      if (!aError) {
        ++mConnections;
        Read(std::make_shared<Peer>(std::move(aPeer)));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<Peer>& aPeer) {
    aPeer->mSocket.async_read_some(
        asio::buffer(aPeer->mBuffer),
        [this, aPeer](asio::error_code aError, std::size_t /*aSize*/) {
          if (aError || mNext >= mScript.size()) {
            return;
          }
          const std::string text = mScript.at(mNext++);
          asio::write(aPeer->mSocket, asio::buffer(text));
          if (mCloseAfterwards) {
            // With a linger time of 0, closing the socket resets the
            // connection.
            const bool resets = text.ends_with(kReset);
            aPeer->mSocket.set_option(asio::socket_base::linger(resets, 0));
            aPeer->mSocket.close();
            return;
          }
          Read(aPeer);
        });
  }

  tcp::acceptor mAcceptor;
  std::vector<std::string> mScript;
  bool mCloseAfterwards;
  std::size_t mConnections = 0;
  std::size_t mNext = 0;
};

std::string Reply(const std::string& aId, const std::string& aBody) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/** A refusal; it echoes no request id if aId is empty. */
std::string Refusal(const std::string& aId) {
  return "HTTP/1.1 503 Full\r\n" +
         (aId.empty() ? "" : "Request-Id: " + aId + "\r\n") +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

EndpointRequest MakeRequest(const std::string& aAddress,
                            const std::string& aId) {
  EndpointRequest request;
  request.mEndpoint = "e";
  request.mAddress = aAddress;
  request.mMaxIdle = std::chrono::seconds(10);
  request.mEchoName = "Request-Id";
  request.mEchoValue = aId;
  return request;
}

/** Sends requests one after the other and returns the result of each. */
std::vector<EndpointAnswer> SendAll(asio::io_context& aContext,
                                    EndpointClient& aClient,
                                    const std::string& aAddress,
                                    const std::vector<std::string>& aIds) {
  std::vector<EndpointAnswer> answers;
  for (const std::string& id : aIds) {
    std::optional<EndpointAnswer> answer;
    aClient.Send(
        MakeRequest(aAddress, id),
        [&answer](const EndpointAnswer& aAnswer) { answer = aAnswer; });
    aContext.restart();
    while (!answer && aContext.run_one() > 0) {
    }
    answers.push_back(*answer);
  }
  return answers;
}

TEST_CASE("endpoint client: outcome for each kind of response") {
  struct Case {
    const char* mWhat;
    std::vector<std::string> mScript;
    bool mCloses;
    std::vector<std::string> mIds;
    std::vector<EndpointOutcome> mOutcomes;
    std::vector<std::string> mBodies;
    std::size_t mConnections;
  };
  using Outcome = EndpointOutcome;
  const std::vector<Case> cases = {
      {"two answers on one connection",
       {Reply("1", "one"), Reply("2", "two")},
       false,
       {"1", "2"},
       {Outcome::Answered, Outcome::Answered},
       {"one", "two"},
       1},
      {"a late answer to an earlier request is skipped",
       {Reply("0", "old") + Reply("1", "one")},
       false,
       {"1"},
       {Outcome::Answered},
       {"one"},
       1},
      {"a connection is not reused after a second answer",
       {Reply("1", "one") + Reply("1", "one"), Reply("2", "two")},
       false,
       {"1", "2"},
       {Outcome::Answered, Outcome::Answered},
       {"one", "two"},
       2},
      {"a second copy arrives before the next answer",
       {Reply("1", "one"), Reply("1", "one") + Reply("2", "two")},
       false,
       {"1", "2"},
       {Outcome::Answered, Outcome::Answered},
       {"one", "two"},
       1},
      {"a second copy arrives instead of the next answer",
       {Reply("1", "one"), Reply("1", "one") + "no answer"},
       false,
       {"1", "2"},
       {Outcome::Answered, Outcome::Garbled},
       {"one", ""},
       1},
      {"an answer without length ends with the connection",
       {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nall"},
       true,
       {"1"},
       {Outcome::Answered},
       {"all"},
       1},
      {"a truncated answer is malformed",
       {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\npart"},
       true,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"an answer without length is malformed after a reset",
       {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\npart (reset)"},
       true,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"bytes that are not an HTTP answer",
       {"\x01\x02garbage\r\n\r\n"},
       true,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"a success that does not echo the request id",
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
       false,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"interim answers are skipped",
       {"HTTP/1.1 103 Early Hints\r\n\r\n" + Reply("1", "one")},
       false,
       {"1"},
       {Outcome::Answered},
       {"one"},
       1},
      // A faulty endpoint writes an earlier refusal once more. The caller must
      // not be told that a request was refused while it runs.
      {"a refused request is not repeated on its connection",
       {Refusal("1"), Reply("1", "one")},
       false,
       {"1", "1"},
       {Outcome::Answered, Outcome::Answered},
       {"", "one"},
       2},
      {"a refusal without request id on a connection in use again",
       {Reply("1", "one"), Refusal("") + Reply("2", "two")},
       false,
       {"1", "2"},
       {Outcome::Answered, Outcome::Garbled},
       {"one", ""},
       1},
      {"a refusal without request id as the first answer",
       {Refusal("")},
       false,
       {"1"},
       {Outcome::Answered},
       {""},
       1},
      // An answer that breaks off within its head must not pass for an empty
      // one.
      {"the head breaks off within a header",
       {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Le"},
       true,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"the head breaks off between two headers",
       {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"},
       true,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"the head breaks off within the status line",
       {"HTTP/1.1 200 OK"},
       true,
       {"1"},
       {Outcome::Garbled},
       {""},
       1},
      {"a connection that is closed without a byte",
       {""},
       true,
       {"1"},
       {Outcome::Lost},
       {""},
       1},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    asio::io_context context;
    ScriptedEndpoint endpoint(context, one.mScript, one.mCloses);
    EndpointClient client(context);
    const auto answers = SendAll(context, client, endpoint.Address(), one.mIds);
    for (std::size_t index = 0; index < answers.size(); ++index) {
      CHECK(answers[index].mOutcome == one.mOutcomes[index]);
      if (answers[index].mResponse != nullptr) {
        CHECK(answers[index].mResponse->mBody == one.mBodies[index]);
      }
    }
    CHECK(endpoint.Connections() == one.mConnections);
  }
}

/** Sends a beginning and then repeats a text until the peer closes the
 * connection. */
class EndlessEndpoint {
 public:
  EndlessEndpoint(asio::io_context& aContext, std::string aBeginning,
                  const std::string& aText)
      : mAcceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        mSocket(aContext),
        mBeginning(std::move(aBeginning)) {
    constexpr std::size_t kPiece = 4096;
    while (mPiece.size() < kPiece) {
      mPiece += aText;
    }
    mAcceptor.async_accept(mSocket, [this](asio::error_code aError) {
      if (!aError) {
        Write(mBeginning);
      }
    });
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  [[nodiscard]] bool WasClosed() const { return mClosed; }

 private:
  void Write(const std::string& aText) {
    asio::async_write(mSocket, asio::buffer(aText),
                      [this](asio::error_code aError, std::size_t) {
                        mClosed = static_cast<bool>(aError);
                        if (!mClosed) {
                          Write(mPiece);
                        }
                      });
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  std::string mBeginning;
  std::string mPiece;
  bool mClosed = false;
};

TEST_CASE("endpoint client: endless responses are aborted at the limits") {
  struct Case {
    const char* mWhat;
    std::string mBeginning;
    std::string mText;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"empty lines", "", "\r\n"},
      {"a reason", "HTTP/1.1 200 ", "very "},
      {"a header's name", head, "x"},
      {"a header's value", head + "X: ", "y"},
      {"headers", head, "X: y\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"answers to others", "",
       "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 2\r\n\r\nok"},
      {"a body without length", head + "\r\n", "z"},
      {"a huge length", head + "Content-Length: 9223372036854775808\r\n\r\n",
       "z"},
      {"a length that overflows",
       head + "Content-Length: 99999999999999999999999\r\n\r\n", "z"},
      {"chunks", chunked, "1\r\nz\r\n"},
      {"a huge chunk", chunked + "8000000000000000\r\n", "z"},
      {"a chunk size", chunked, "0"},
      {"a chunk extension", chunked + "5;", "e"},
      {"trailers", chunked + "0\r\n", "X: y\r\n"},
      {"no HTTP at all", "", "garbage "},
  };
  AnswerLimits limits;
  limits.mMaxHead = 8U << 10U;
  limits.mMaxBody = 128U << 10U;
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    asio::io_context context;
    EndlessEndpoint endpoint(context, one.mBeginning, one.mText);
    EndpointClient client(context, limits);
    const auto answers = SendAll(context, client, endpoint.Address(), {"1"});
    CHECK(answers.front().mOutcome == EndpointOutcome::Garbled);
    CHECK_FALSE(answers.front().mReason.empty());
    // No more is read than the limits allow, plus a buffer or two.
    CHECK(client.Counts().mBytesRead <= (1U << 20U));
    context.restart();
    context.run();
    CHECK(endpoint.WasClosed());
  }
}

TEST_CASE("endpoint client: unfinished answers share one limit") {
  constexpr std::size_t kEndpoints = 8;
  AnswerLimits limits;
  limits.mMaxBody = 1U << 20U;
  limits.mMaxUnfinished = 256U << 10U;
  asio::io_context context;
  EndpointClient client(context, limits);
  std::vector<std::unique_ptr<EndlessEndpoint>> endpoints;
  std::size_t garbled = 0;
  for (std::size_t index = 0; index < kEndpoints; ++index) {
    endpoints.push_back(std::make_unique<EndlessEndpoint>(
        context, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", "z"));
    client.Send(MakeRequest(endpoints.back()->Address(), "1"),
                [&garbled](const EndpointAnswer& aAnswer) {
                  garbled += aAnswer.mOutcome == EndpointOutcome::Garbled;
                });
  }
  context.run();
  CHECK(garbled == kEndpoints);
  // Without the shared limit, each answer could grow to mMaxBody.
  CHECK(client.Counts().mBytesRead < 2 * kEndpoints * limits.mMaxUnfinished);
}

TEST_CASE(
    "endpoint client: a connection that was made in time is not given up "
    "by a process that was held up") {
  asio::io_context context;
  ScriptedEndpoint endpoint(context, {Reply("1", "one")}, false);
  EndpointClient client(context);
  EndpointRequest request = MakeRequest(endpoint.Address(), "1");
  request.mConnectTimeout = milliseconds(20);
  std::optional<EndpointAnswer> answer;
  client.Send(request,
              [&answer](const EndpointAnswer& aAnswer) { answer = aAnswer; });
  // The kernel makes the connection while the process is blocked, so the
  // completion of the connection and its timeout become due together.
  std::this_thread::sleep_for(milliseconds(60));
  while (!answer && context.run_one() > 0) {
  }
  CHECK(answer->mOutcome == EndpointOutcome::Answered);
}

TEST_CASE("endpoint client: an address without a listener is not connected") {
  asio::io_context context;
  std::string address;
  {
    ScriptedEndpoint gone(context, {}, true);
    address = gone.Address();
  }
  EndpointClient client(context);
  const auto answers = SendAll(context, client, address, {"1"});
  CHECK(answers.front().mOutcome == EndpointOutcome::NotConnected);
}

}  // namespace
}  // namespace papayawheel
