// Answers whose body does not end where the endpoint ended it.

#include <doctest/doctest.h>

#include <string>

#include "tests/drivers/answer_texts.h"

namespace papayawheel {
namespace {

using Result = AnswerParser::Result;

const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a caller that gets a body with bytes left out, because an
// endpoint stated wrong sizes of chunks.
TEST_CASE("answer parser: chunks that do not end after their size") {
  for (const std::string chunks :
       {"2\r\nokXX0\r\n\r\n", "2\r\nok\rX0\r\n\r\n", "2\r\nokX\n0\r\n\r\n",
        "2\r\nokay5\r\nthere\r\n0\r\n\r\n", "2\rXok\r\n0\r\n\r\n",
        "2;name=value\rXok\r\n0\r\n\r\n", "2\r\nok\r\n0\rX\r\n"}) {
    for (const std::size_t piece : {1, 2, 3, 5000}) {
      CAPTURE(chunks);
      CAPTURE(piece);
      AnswerParser parser;
      CHECK(FeedAll(parser, kChunked + chunks, piece) == Result::Malformed);
    }
  }
}

TEST_CASE("answer parser: chunks that end after their size") {
  for (const std::string chunks :
       {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        "2;name=value\r\nok\r\n0;name\r\n\r\n", "2 \r\nok\r\n000\r\n\r\n"}) {
    for (const std::size_t piece : {1, 2, 3, 5000}) {
      CAPTURE(chunks);
      CAPTURE(piece);
      AnswerParser parser;
      CHECK(FeedAll(parser, kChunked + chunks, piece) == Result::Complete);
      CHECK(parser.Take()->mBody == "ok");
    }
  }
}

// Guards against a caller whose next answer begins with the body of one that
// has none, or that waits for a body which never comes.
TEST_CASE("answer parser: an answer whose status excludes a body") {
  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    for (const std::string rest :
         {"\r\n", "Content-Length: 2\r\n\r\n", "Content-Length: 2\r\n\r\nok",
          "Transfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
      CAPTURE(status);
      CAPTURE(rest);
      AnswerParser parser;
      const std::string text = "HTTP/1.1 " + status + "\r\nX: y\r\n" + rest;
      CHECK(FeedAll(parser, text, text.size()) == Result::Complete);
      CHECK(parser.Take()->mBody.empty());
    }
  }
}

// Guards against a caller that gets coded bytes for the body.
TEST_CASE("answer parser: a transfer coding that was not asked for") {
  for (const std::string coding : {"gzip", "xchunked", "chunked, gzip",
                                   "gzip, chunked", "chunked, identity"}) {
    CAPTURE(coding);
    AnswerParser parser;
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                             "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    Result result = FeedAll(parser, text, text.size());
    if (result == Result::Incomplete) {
      result = parser.FeedEnd();
    }
    CHECK(result == Result::Malformed);
  }
}

TEST_CASE("answer parser: names of transfer codings are read without case") {
  AnswerParser parser;
  const std::string text =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n2\r\nok\r\n0"
      "\r\n\r\n";
  CHECK(FeedAll(parser, text, text.size()) == Result::Complete);
  CHECK(parser.Take()->mBody == "ok");
}

}  // namespace
}  // namespace papayawheel
