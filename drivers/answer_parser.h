#pragma once

#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "core/outcome/response.h"
#include "drivers/answer_head.h"
#include "drivers/answer_limits.h"

namespace papayawheel {

/** Incremental parser for the HTTP answers of one connection. Trailers are
 * checked and then dropped: a field after the body must not change what the
 * head says. */
class AnswerParser {
 public:
  enum class Result {
    /** More bytes are needed. */
    Incomplete,
    /** A whole answer is available from Take(). */
    Complete,
    /** The bytes are not a valid answer, or they exceed a limit. */
    Malformed,
  };

  explicit AnswerParser(const AnswerLimits& aLimits = {});

  /** Prepares for the answer to a request.
   * @param aIsHead whether it is a HEAD request, whose answer has no body
   * whatever its headers say. */
  void StartAnswer(bool aIsHead);

  /** Parses bytes up to the end of one answer; interim answers are skipped.
   * @param aUsed set to the number of bytes that were parsed. */
  Result Feed(const char* aData, std::size_t aSize, std::size_t& aUsed);

  /** Reports that the peer closed the connection without an error. This ends an
   * answer without a stated length. */
  Result FeedEnd();

  /** Returns the whole answer; null if it was taken already. */
  std::shared_ptr<Response> Take();

  /** Bytes buffered of the answer so far. */
  [[nodiscard]] std::size_t BufferedBytes() const;
  /** Whether any byte of an answer has been read. */
  [[nodiscard]] bool HasBegun() const { return mHasBegun; }
  /** Whether the connection may carry another request. */
  [[nodiscard]] bool KeepsConnection() const { return mKeepsConnection; }

 private:
  /** Counts bytes of the head; false if they exceed the limit. */
  bool CountHeadBytes(std::size_t aSize);
  void KeepLastBytes(std::string_view aBytes);
  /** Stops the parser after the end of a line. Feed() checks that it is one. */
  int StopAtLineEnd();
  static int OnField(http_parser* aParser, const char* aData,
                     std::size_t aSize);
  static int OnValue(http_parser* aParser, const char* aData,
                     std::size_t aSize);
  static int OnHeaders(http_parser* aParser);
  static int OnChunkHeader(http_parser* aParser);
  static int OnChunkComplete(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aData, std::size_t aSize);
  static int OnComplete(http_parser* aParser);

  http_parser mParser{};
  http_parser_settings mSettings{};
  AnswerLimits mLimits;
  /** Checks the head of the answer, final or interim, that is being read, and
   * its trailers. */
  AnswerHeadCheck mHeadCheck;
  std::shared_ptr<Response> mResponse;
  /** Bytes of header and trailer names and values, including those of interim
   * answers. */
  std::size_t mHeadBytes = 0;
  std::size_t mInterimAnswers = 0;
  bool mIsHead = false;
  bool mHasBegun = false;
  bool mInValue = false;
  /** The last bytes that were parsed, as many as end a line. */
  std::string mLastBytes;
  /** Whether the bytes that were parsed must end with the end of a line. */
  bool mIsAtLineEnd = false;
  bool mComplete = false;
  bool mKeepsConnection = false;
};

}  // namespace papayawheel
