// Answers with fields in the trailers of a chunked body. Whoever acts on an
// answer reads only its head: a field that follows the body must not be taken
// for one of the head.

#include <doctest/doctest.h>

#include <string>

#include "drivers/header_text.h"
#include "servers/gateway_messages.h"
#include "servers/header_names.h"
#include "tests/drivers/answer_texts.h"

namespace papayawheel {
namespace {

/** A refusal with a body in chunks, and with fields in its head and after its
 * body. */
std::string RefusalWith(const std::string& aHead,
                        const std::string& aTrailers) {
  return "HTTP/1.1 503 Full\r\n" + aHead +
         "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n" + aTrailers +
         "\r\n";
}

// Guards against an order that is sent to a second endpoint, or answered as not
// run, because of a statement that came after the answer's head.
TEST_CASE("endpoint client: a statement in the trailers is none") {
  struct Case {
    std::string mHead;
    std::string mTrailers;
    AttemptResult mResult;
  };
  const std::string statement = "Papayawheel-Not-Executed: 1\r\n";
  const std::vector<Case> cases = {
      {"", "", AttemptResult::Answered},
      {statement, "", AttemptResult::NotExecuted},
      {"", statement, AttemptResult::Answered},
      {"X: y\r\n", "X: z\r\n" + statement, AttemptResult::Answered},
      {"", "Content-Encoding: gzip\r\n", AttemptResult::Answered},
      {statement, "X: z\r\n", AttemptResult::NotExecuted},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mHead);
    CAPTURE(one.mTrailers);
    const auto answer =
        EndpointAnswerFor(RefusalWith(one.mHead, one.mTrailers));
    REQUIRE(answer);
    REQUIRE(answer->mOutcome == EndpointOutcome::Answered);
    CHECK(answer->mResponse->mBody == "full");
    CHECK(ReadEndpointAnswer(*answer).mResult == one.mResult);
  }
}

TEST_CASE("answer parser: fields of the trailers are not passed on") {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{5000}}) {
    CAPTURE(piece);
    AnswerParser parser;
    const std::string text = RefusalWith("X: y\r\n", "X: z\r\nY: z\r\n");
    REQUIRE(FeedAll(parser, text, piece) == AnswerParser::Result::Complete);
    const HeaderList headers = parser.Take()->mHeaders;
    CHECK(headers == HeaderList{{"X", "y"}, {"Transfer-Encoding", "chunked"}});
  }
}

// The same for the client of entries, whose endpoints state it in another
// field.
TEST_CASE("http client: fields of the trailers are not those of the head") {
  const std::string statement = header_names::kOutcome + ": not_run\r\n";
  const auto inTrailers = HttpResultFor(RefusalWith("", statement));
  REQUIRE(inTrailers);
  CHECK(inTrailers->mKind == HttpResultKind::Answered);
  CHECK(inTrailers->mBody == "full");
  CHECK(inTrailers->Header(header_names::kOutcome).empty());
  CHECK_FALSE(FindHeader(inTrailers->mAllHeaders, header_names::kOutcome));
  const auto inHead = HttpResultFor(RefusalWith(statement, "X: z\r\n"));
  REQUIRE(inHead);
  CHECK(inHead->Header(header_names::kOutcome) == "not_run");
}

}  // namespace
}  // namespace papayawheel
