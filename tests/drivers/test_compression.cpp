#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <string>

#include "drivers/http_client.h"
#include "drivers/http_server.h"

namespace papayawheel {
namespace {

struct CompressionCase {
  const char* mWhat;
  bool mServerMay;
  bool mClientAccepts;
  std::size_t mSize;
  const char* mEncoding;
};

TEST_CASE("http: large bodies are compressed if both sides allow it") {
  constexpr std::size_t kLarge = 100'000;
  constexpr std::size_t kSmall = 100;
  constexpr std::uint16_t kPort = 27'411;
  const std::vector<CompressionCase> table = {
      {"both want it", true, true, kLarge, "gzip"},
      {"the client does not say so", true, false, kLarge, ""},
      {"the server does not want it", false, true, kLarge, ""},
      {"the body is small", true, true, kSmall, ""},
  };
  for (const CompressionCase& row : table) {
    CAPTURE(row.mWhat);
    asio::io_context context(1);
    HttpServerSettings settings;
    settings.mPort = kPort;
    HttpReply reply;
    reply.mMayCompress = row.mServerMay;
    while (reply.mBody.size() < row.mSize) {
      reply.mBody += std::to_string(reply.mBody.size()) + " ";
    }
    HttpServer server(context, settings, [&](const HttpExchangePtr& aExchange) {
      aExchange->Reply(reply);
    });
    REQUIRE(server.Start());
    HttpClient client(context);
    HttpCall call;
    call.mAddress = "127.0.0.1:" + std::to_string(kPort);
    call.mAcceptsCompressed = row.mClientAccepts;
    HttpResult result;
    client.Send(call, [&](const HttpResult& aResult) {
      result = aResult;
      context.stop();
    });
    context.run();
    CHECK(result.mKind == HttpResultKind::Answered);
    CHECK(result.mBody == reply.mBody);
    CHECK(result.Header("content-encoding") == row.mEncoding);
    const bool isCompressed = *row.mEncoding != 0;
    CHECK(isCompressed == (result.mBytes < reply.mBody.size()));
  }
}

}  // namespace
}  // namespace papayawheel
