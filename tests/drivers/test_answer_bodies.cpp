// Answers whose body does not end where the endpoint ended it.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

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
      const std::string text =
          fmt::format("HTTP/1.1 {}\r\nX: y\r\n{}", status, rest);
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

std::vector<std::string> InvalidLengths() {
  return {"Content-Length: 2\r\nContent-Length: 1\r\n",
          "Content-Length: 1\r\nContent-Length: 2\r\n",
          "Content-Length: 2\r\ncontent-length: 3\r\n",
          "Content-Length: 2x\r\n",
          "Content-Length: 0x2\r\n",
          "Content-Length: +2\r\n",
          "Content-Length: -2\r\n",
          "Content-Length: 2, 3\r\n",
          "Content-Length: 2 2\r\n",
          "Content-Length:\r\n",
          "Content-Length: 9223372036854775808\r\n",
          "Content-Length: 99999999999999999999\r\n"};
}

// Guards against a caller that gets a part of a body, or more than the body, as
// the stated length is not one.
TEST_CASE("answer parser: an invalid length makes an answer malformed") {
  for (const std::string& lengths : InvalidLengths()) {
    CAPTURE(lengths);
    AnswerParser parser;
    const std::string text = "HTTP/1.1 200 OK\r\n" + lengths + "\r\nok";
    CHECK(FeedAll(parser, text, text.size()) == Result::Malformed);
  }
}

TEST_CASE("http client: an answer with an invalid length is none") {
  for (const std::string& lengths : InvalidLengths()) {
    CAPTURE(lengths);
    const auto result =
        HttpResultFor("HTTP/1.1 200 OK\r\n" + lengths + "\r\nok");
    REQUIRE(result);
    CHECK(result->mKind == HttpResultKind::Cut);
  }
}

TEST_CASE("http client: a valid length") {
  for (const std::string length :
       {"Content-Length: 2\r\n", "content-length:2 \r\n",
        "Content-Length: \t002\r\n"}) {
    CAPTURE(length);
    const auto result =
        HttpResultFor("HTTP/1.1 200 OK\r\n" + length + "\r\nok");
    REQUIRE(result);
    CHECK(result->mKind == HttpResultKind::Answered);
    CHECK(result->mBody == "ok");
  }
}

}  // namespace
}  // namespace papayawheel
