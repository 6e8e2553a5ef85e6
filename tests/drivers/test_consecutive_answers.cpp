// A client that sends one request after the other.

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "tests/drivers/answer_texts.h"

namespace papayawheel {
namespace {

// Guards against a process that ends because an answer begins with a line that
// continues the one before, which libcurl took for one of the answer before.
TEST_CASE("http client: a head that begins with a blank after another answer") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n\r\nok";
  for (const std::string line : {" Bad: x\r\n", "\tBad: x\r\n", " y\r\n"}) {
    CAPTURE(line);
    const std::vector<HttpResult> results =
        HttpResultsFor({head + "Name: x\r\n" + length, head + line + length,
                        head + "Name: x\r\n" + length});
    REQUIRE(results.size() == 3);
    CHECK(results[0].mKind == HttpResultKind::Answered);
    CHECK(results[1].mKind != HttpResultKind::Answered);
    CHECK(results[2].mKind == HttpResultKind::Answered);
  }
}

}  // namespace
}  // namespace papayawheel
