// Answers whose head or trailers hold lines that are no header fields, as
// upstreams in trouble send them.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "tests/drivers/answer_texts.h"

namespace papayawheel {
namespace {

using Result = AnswerParser::Result;
using namespace std::string_literals;

/** Field lines of an answer, each with its end. */
using Lines = std::string;

std::vector<Lines> MalformedNames() {
  return {"Bad Name: x\r\n",
          "Bad : x\r\n",
          "Content Length: 1\r\n",
          "Content-Length : 1\r\n",
          "Transfer Encoding: chunked\r\n",
          "Transfer-Encoding : chunked\r\n",
          "Bad\tName: x\r\n",
          "Bad\0Name: x\r\n"s,
          "Bad\x01Name: x\r\n",
          "Bad\x7fName: x\r\n",
          "Bad\xe9Name: x\r\n",
          "Bad\rName: x\r\n",
          "(Bad): x\r\n",
          "HTTP/1.1 200 OK: x\r\n",
          ": x\r\n",
          "no colon\r\n",
          "nocolon\r\n"};
}

std::vector<Lines> MalformedValues() {
  return {"Name: a\x01\r\n", "Name: \0\r\n"s,     "Name:\x1f x\r\n",
          "Name: a\x7f\r\n", "Name: \x1b[2J\r\n", "Name: a\rName: b\r\n"};
}

std::vector<Lines> ValidLines() {
  return {"",
          "Name: x\r\n",
          "Name:x\r\n",
          "Name:\r\n",
          "Name: a b\tc \r\n",
          "Name: a: b\r\n",
          "Name: \xe9\r\n",
          "!#$%&'*+-.^_`|~09azAZ: x\r\n",
          "Name: x\r\nName: x\r\n",
          "Name: x\nName: x\n"};
}

/** Whole answers with the body "ok" that hold the lines at each place. */
std::vector<std::string> AnswersWith(const Lines& aLines) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  return {status + aLines + length + "\r\nok",
          status + length + aLines + "\r\nok",
          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + aLines + "\r\n" + status +
              length + "\r\nok",
          status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
              aLines + "\r\n"};
}

void CheckParser(const std::string& aText, Result aResult) {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{5000}}) {
    CAPTURE(aText);
    CAPTURE(piece);
    AnswerParser parser;
    CHECK(FeedAll(parser, aText, piece) == aResult);
    if (aResult == Result::Complete) {
      CHECK(parser.Take()->mBody == "ok");
    }
  }
}

void CheckNoAnswer(const std::string& aText) {
  CAPTURE(aText);
  const auto result = HttpResultFor(aText);
  REQUIRE(result);
  CHECK(result->mKind == HttpResultKind::Cut);
  CHECK(result->mStatus == 0);
}

// Guards against a caller that gets an answer with a line that is no header
// field, or whose body ends where a misspelt field does not say.
TEST_CASE("answer parser: a malformed name makes an answer malformed") {
  for (const Lines& lines : MalformedNames()) {
    for (const std::string& text : AnswersWith(lines)) {
      CheckParser(text, Result::Malformed);
    }
  }
}

TEST_CASE("answer parser: a first line that begins with a blank") {
  for (const Lines lines : {" Bad: x\r\n", "\tBad: x\r\n", " : x\r\n"}) {
    CheckParser(AnswersWith(lines).front(), Result::Malformed);
    CheckParser(AnswersWith(lines).back(), Result::Malformed);
  }
}

// Guards against a caller that gets a value with a line appended to it, which
// may be a field whose name begins with a blank.
TEST_CASE("answer parser: a line that continues a value") {
  for (const Lines lines : {"Name: x\r\n Bad: x\r\n", "Name: x\r\n\tBad: x\r\n",
                            "Name: x\r\n y\r\n", "Name:\r\n y\r\n",
                            "Name: x\n y\r\n", "Name: x\r\n \r\n"}) {
    for (const std::string& text : AnswersWith(lines)) {
      CheckParser(text, Result::Malformed);
    }
  }
}

// Guards against a body or a field that lacks a byte, which the parser takes
// for the end of the line.
TEST_CASE("answer parser: a carriage return that ends no line") {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string rest = length + "\r\nok";
  const std::string chunks =
      status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  for (const std::string& text :
       {"HTTP/1.1 200 OK\rContent-Length: 1\r\n" + rest,
        "HTTP/1.1 200\rX" + rest,
        fmt::format("HTTP/1.1 103 Early Hints\r{}{}", status, rest),
        fmt::format("{}\rX: y\r\n{}", status, rest), status + length + "\rXok",
        status + length + "\r\rok",
        fmt::format("{}X: a\rY: b\r\n{}", status, rest),
        fmt::format("{}X:\r{}", status, rest), chunks + "\rX",
        chunks + "X: y\r\n\rX", chunks + "X: y\rZ: y\r\n\r\n"}) {
    CheckParser(text, Result::Malformed);
  }
}

TEST_CASE("answer parser: field lines in order are accepted") {
  for (const Lines& lines : ValidLines()) {
    for (const std::string& text : AnswersWith(lines)) {
      CheckParser(text, Result::Complete);
    }
  }
}

TEST_CASE("endpoint client: an answer with a malformed name is none") {
  for (const Lines& lines : MalformedNames()) {
    CAPTURE(lines);
    const auto answer = EndpointAnswerFor(AnswersWith(lines).front());
    REQUIRE(answer);
    CHECK(answer->mOutcome == EndpointOutcome::Garbled);
    CHECK(answer->mResponse == nullptr);
  }
}

TEST_CASE("http client: an answer with a malformed name is none") {
  std::vector<Lines> malformed = MalformedNames();
  malformed.insert(malformed.end(), {" Bad: x\r\n", "Name: x\r\n Bad: x\r\n"});
  for (const Lines& lines : malformed) {
    for (const std::string& text : AnswersWith(lines)) {
      CheckNoAnswer(text);
    }
  }
}

TEST_CASE("answer parser: a malformed value makes an answer malformed") {
  for (const Lines& lines : MalformedValues()) {
    for (const std::string& text : AnswersWith(lines)) {
      CheckParser(text, Result::Malformed);
    }
  }
}

TEST_CASE("http client: an answer with a malformed value is none") {
  for (const Lines& lines : MalformedValues()) {
    for (const std::string& text : AnswersWith(lines)) {
      CheckNoAnswer(text);
    }
  }
}

TEST_CASE("http client: field lines in order are accepted") {
  for (const Lines& lines : ValidLines()) {
    for (const std::string& text : AnswersWith(lines)) {
      CAPTURE(text);
      const auto result = HttpResultFor(text);
      REQUIRE(result);
      CHECK(result->mKind == HttpResultKind::Answered);
      CHECK(result->mBody == "ok");
    }
  }
}

}  // namespace
}  // namespace papayawheel
