#pragma once

#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <string>

#include "core/outcome/response.h"
#include "drivers/answer_limits.h"

namespace papayawheel {

/** Reads answers from the bytes of one connection. */
class AnswerParser {
 public:
  enum class Result {
    /** More bytes are needed. */
    Incomplete,
    /** A whole answer stands ready. */
    Complete,
    /** The bytes are not an answer. */
    Malformed,
  };

  explicit AnswerParser(const AnswerLimits& aLimits = {});

  /** Prepares for the answer to a request.
   * @param aIsHead the answer has no body whatever its headers say. */
  void StartAnswer(bool aIsHead);

  /** Reads bytes up to the end of one answer; interim answers are skipped.
   * @param aUsed how many bytes were read. */
  Result Feed(const char* aData, std::size_t aSize, std::size_t& aUsed);

  /** The other side has closed the connection in order. */
  Result FeedEnd();

  /** The whole answer, once. */
  std::shared_ptr<Response> Take();

  /** Bytes that are held of the answer so far. */
  [[nodiscard]] std::size_t BufferedBytes() const;
  /** Whether any byte of an answer has been read. */
  [[nodiscard]] bool HasBegun() const { return mHasBegun; }
  /** Whether the connection may carry another request. */
  [[nodiscard]] bool KeepsConnection() const { return mKeepsConnection; }

 private:
  /** Counts bytes of the head; false if there are too many. */
  bool CountHeadBytes(std::size_t aSize);
  static int OnField(http_parser* aParser, const char* aData,
                     std::size_t aSize);
  static int OnValue(http_parser* aParser, const char* aData,
                     std::size_t aSize);
  static int OnHeaders(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aData, std::size_t aSize);
  static int OnComplete(http_parser* aParser);

  http_parser mParser{};
  http_parser_settings mSettings{};
  AnswerLimits mLimits;
  std::shared_ptr<Response> mResponse;
  /** Bytes of names and values of the head and of trailers, with those of
   * interim answers. */
  std::size_t mHeadBytes = 0;
  std::size_t mInterimAnswers = 0;
  bool mIsHead = false;
  bool mHasBegun = false;
  bool mInValue = false;
  bool mComplete = false;
  bool mKeepsConnection = false;
};

}  // namespace papayawheel
