// A client that sends one request after the other.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "tests/drivers/answer_texts.h"

namespace papayawheel {
namespace {

// Guards against a process that ends because an answer begins with a line that
// continues the one before, which libcurl took for one of the answer before.
TEST_CASE("http client: a head that begins with a blank after another answer") {
  const std::string format =
      "HTTP/1.1 200 OK\r\n{}\r\nContent-Length: 2\r\n\r\nok";
  const std::string usual = fmt::format(fmt::runtime(format), "Name: x");
  for (const std::string line : {" Bad: x", "\tBad: x", " y"}) {
    CAPTURE(line);
    const std::string bad = fmt::format(fmt::runtime(format), line);
    const std::vector<HttpResult> results = HttpResultsFor({usual, bad, usual});
    REQUIRE(results.size() == 3);
    CHECK(results[0].mKind == HttpResultKind::Answered);
    CHECK(results[1].mKind != HttpResultKind::Answered);
    CHECK(results[2].mKind == HttpResultKind::Answered);
  }
}

}  // namespace
}  // namespace papayawheel
