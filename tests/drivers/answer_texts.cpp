#include "tests/drivers/answer_texts.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <utility>

namespace papayawheel {

namespace {

/** Sends a text to one connection that sent something, and ends its side. */
class TextServer {
 public:
  TextServer(asio::io_context& aContext, std::string aText)
      : mAcceptor(aContext, {asio::ip::address_v4::loopback(), 0}),
        mSocket(aContext),
        mText(std::move(aText)) {
    mAcceptor.async_accept(mSocket, [this](asio::error_code) {
      mSocket.async_read_some(
          asio::buffer(mInput), [this](asio::error_code, std::size_t) {
            asio::write(mSocket, asio::buffer(mText));
            mSocket.shutdown(asio::ip::tcp::socket::shutdown_send);
          });
    });
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

 private:
  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  std::string mText;
  std::array<char, 4096> mInput{};
};

}  // namespace

AnswerParser::Result FeedAll(AnswerParser& aParser, const std::string& aText,
                             std::size_t aPiece) {
  for (std::size_t start = 0; start < aText.size(); start += aPiece) {
    std::size_t used = 0;
    const std::size_t size = std::min(aPiece, aText.size() - start);
    const auto result = aParser.Feed(aText.data() + start, size, used);
    if (result != AnswerParser::Result::Incomplete) {
      return result;
    }
  }
  return AnswerParser::Result::Incomplete;
}

std::optional<EndpointAnswer> EndpointAnswerFor(const std::string& aText) {
  asio::io_context context(1);
  TextServer server(context, aText);
  EndpointClient client(context);
  EndpointRequest request;
  request.mEndpoint = "e";
  request.mAddress = server.Address();
  std::optional<EndpointAnswer> answer;
  client.Send(request,
              [&answer](const EndpointAnswer& aAnswer) { answer = aAnswer; });
  context.run_for(std::chrono::seconds(2));
  return answer;
}

std::vector<HttpResult> HttpResultsFor(const std::vector<std::string>& aTexts) {
  asio::io_context context(1);
  HttpClient client(context);
  std::vector<HttpResult> results;
  for (const std::string& text : aTexts) {
    TextServer server(context, text);
    HttpCall call;
    call.mAddress = server.Address();
    client.Send(call, [&results](const HttpResult& aResult) {
      results.push_back(aResult);
    });
    context.restart();
    context.run_for(std::chrono::seconds(2));
  }
  return results;
}

std::optional<HttpResult> HttpResultFor(const std::string& aText) {
  const std::vector<HttpResult> results = HttpResultsFor({aText});
  return results.empty() ? std::nullopt : std::optional(results.front());
}

}  // namespace papayawheel
