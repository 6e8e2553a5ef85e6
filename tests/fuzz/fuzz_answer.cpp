// Feeds the input to the parser of endpoints' answers in pieces. The first byte
// gives the size of the pieces. Checks that the parser buffers no more than its
// limits allow and that a complete answer can be taken.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "drivers/answer_parser.h"

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  using papayawheel::AnswerParser;
  if (aSize == 0) {
    return 0;
  }
  papayawheel::AnswerLimits limits;
  limits.mMaxHead = 512;
  limits.mMaxBody = 1024;
  AnswerParser parser(limits);
  const std::size_t piece = 1 + aData[0] % 64;
  const auto* const text = reinterpret_cast<const char*>(aData);
  std::size_t at = 1;
  while (at < aSize) {
    std::size_t used = 0;
    const auto result =
        parser.Feed(text + at, std::min(piece, aSize - at), used);
    if (parser.BufferedBytes() > limits.mMaxHead + limits.mMaxBody + piece) {
      std::abort();
    }
    if (result == AnswerParser::Result::Malformed) {
      return 0;
    }
    if (result == AnswerParser::Result::Complete) {
      if (parser.Take() == nullptr) {
        std::abort();
      }
      parser.StartAnswer(false);
    }
    at += used;
  }
  parser.FeedEnd();
  return 0;
}
