// Answers whose status is not a number from 100 to 599, as upstreams in trouble
// send them.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "tests/drivers/answer_texts.h"

namespace papayawheel {
namespace {

using Result = AnswerParser::Result;

struct Case {
  /** What follows "HTTP/1.1 " on the status line. */
  std::string mStatusLine;
  bool mIsValid;
};

std::vector<Case> Cases() {
  return {{"000 Odd", false},  {"099 Odd", false},  {"600 Odd", false},
          {"999 Odd", false},  {"0200 Odd", false}, {"20 Odd", false},
          {"2000 Odd", false}, {" 200 Odd", false}, {"2 Odd", false},
          {"20", false},       {"200x Odd", false}, {"2x0 Odd", false},
          {"-20 Odd", false},  {"+200 Odd", false}, {"", false},
          {"200 OK", true},    {"200", true},       {"200 ", true},
          {"599 Odd", true},   {"404 600", true}};
}

std::string Answer(const std::string& aStatusLine) {
  return "HTTP/1.1 " + aStatusLine + "\r\nContent-Length: 2\r\n\r\nok";
}

// Guards against a caller that gets a status like 000 or 999 of an upstream in
// trouble, or one that an invalid status was turned into.
TEST_CASE("answer parser: an invalid status makes an answer malformed") {
  const std::string interim =
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 "
      "Continue\r\n\r\n";
  for (const Case& one : Cases()) {
    for (const std::string& before : {std::string(), interim}) {
      for (const std::size_t piece : {std::size_t{1}, std::size_t{5000}}) {
        CAPTURE(one.mStatusLine);
        CAPTURE(before.size());
        CAPTURE(piece);
        AnswerParser parser;
        const auto result =
            FeedAll(parser, before + Answer(one.mStatusLine), piece);
        CHECK(result == (one.mIsValid ? Result::Complete : Result::Malformed));
        if (one.mIsValid) {
          CHECK(parser.Take()->mStatus == std::stoi(one.mStatusLine));
        }
      }
    }
  }
}

TEST_CASE("answer parser: an invalid status of an interim answer") {
  for (const char* const interim : {"099", "1", "0100", "1000", " 100"}) {
    CAPTURE(interim);
    AnswerParser parser;
    const std::string text =
        "HTTP/1.1 " + std::string(interim) + " Odd\r\n\r\n" + Answer("200 OK");
    CHECK(FeedAll(parser, text, text.size()) == Result::Malformed);
  }
}

TEST_CASE("endpoint client: an answer with an invalid status is none") {
  for (const Case& one : Cases()) {
    CAPTURE(one.mStatusLine);
    const auto answer = EndpointAnswerFor(Answer(one.mStatusLine));
    REQUIRE(answer);
    CHECK(answer->mOutcome == (one.mIsValid ? EndpointOutcome::Answered
                                            : EndpointOutcome::Garbled));
    CHECK((answer->mResponse != nullptr) == one.mIsValid);
  }
}

TEST_CASE("http client: an answer with an invalid status is none") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  for (const Case& one : Cases()) {
    for (const std::string& before : {std::string(), interim}) {
      CAPTURE(one.mStatusLine);
      CAPTURE(before.size());
      const auto result = HttpResultFor(before + Answer(one.mStatusLine));
      REQUIRE(result);
      if (one.mIsValid) {
        CHECK(result->mKind == HttpResultKind::Answered);
        CHECK(result->mStatus == std::stoi(one.mStatusLine));
      } else {
        CHECK(result->mKind == HttpResultKind::Cut);
        CHECK(result->mStatus == 0);
      }
    }
  }
}

// libcurl takes other spellings of the protocol's name than the checks
// expected.
TEST_CASE("http client: an invalid status after another protocol name") {
  for (const std::string protocol : {"http/1.1", "Http/1.1", "HTTP/2"}) {
    for (const std::string status : {"000", "099", "600", "999", "200x"}) {
      CAPTURE(protocol);
      CAPTURE(status);
      const auto result = HttpResultFor(fmt::format(
          "{} {} Odd\r\nContent-Length: 2\r\n\r\nok", protocol, status));
      REQUIRE(result);
      CHECK(result->mKind == HttpResultKind::Cut);
      CHECK(result->mStatus == 0);
    }
  }
}

}  // namespace
}  // namespace papayawheel
