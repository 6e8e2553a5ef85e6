#include "drivers/answer_parser.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "drivers/header_text.h"
#include "drivers/status_line.h"

namespace papayawheel {
namespace {

constexpr int kFirstFinalStatus = 200;

/** Interim answers allowed before the final one; with more the answer is
 * malformed. */
constexpr std::size_t kMaxInterimAnswers = 8;

/** Return values of the parser's callbacks. */
constexpr int kContinue = 0;
constexpr int kNoBodyFollows = 1;
constexpr int kAbort = -1;

constexpr std::string_view kLineEnd = "\r\n";

/** The parser's content length for a body whose length is not stated. */
constexpr std::uint64_t kNoLength = ~std::uint64_t{0};

AnswerParser& Owner(http_parser* aParser) {
  return *static_cast<AnswerParser*>(aParser->data);
}

}  // namespace

AnswerParser::AnswerParser(const AnswerLimits& aLimits) : mLimits(aLimits) {
  http_parser_settings_init(&mSettings);
  mSettings.on_header_field = &AnswerParser::OnField;
  mSettings.on_header_value = &AnswerParser::OnValue;
  mSettings.on_headers_complete = &AnswerParser::OnHeaders;
  mSettings.on_chunk_header = &AnswerParser::OnChunkHeader;
  mSettings.on_chunk_complete = &AnswerParser::OnChunkComplete;
  mSettings.on_body = &AnswerParser::OnBody;
  mSettings.on_message_complete = &AnswerParser::OnComplete;
  StartAnswer(false);
}

void AnswerParser::StartAnswer(bool aIsHead) {
  http_parser_init(&mParser, HTTP_RESPONSE);
  mParser.data = this;
  mHeadCheck = AnswerHeadCheck();
  mResponse = std::make_shared<Response>();
  mHeadBytes = 0;
  mInterimAnswers = 0;
  mIsHead = aIsHead;
  mHasBegun = false;
  mInValue = false;
  mLastBytes.clear();
  mIsAtLineEnd = false;
  mComplete = false;
  mKeepsConnection = false;
}

AnswerParser::Result AnswerParser::Feed(const char* aData, std::size_t aSize,
                                        std::size_t& aUsed) {
  mHasBegun = mHasBegun || aSize > 0;
  aUsed = 0;
  while (aUsed < aSize && !mComplete) {
    if (!mHeadCheck.Feed({aData + aUsed, aSize - aUsed})) {
      return Result::Malformed;
    }
    const std::size_t parsed =
        http_parser_execute(&mParser, &mSettings, aData + aUsed, aSize - aUsed);
    KeepLastBytes({aData + aUsed, parsed});
    aUsed += parsed;
    const auto error = HTTP_PARSER_ERRNO(&mParser);
    if ((error != HPE_OK && error != HPE_PAUSED) || mParser.upgrade != 0) {
      return Result::Malformed;
    }
    if (error == HPE_PAUSED) {
      http_parser_pause(&mParser, 0);
    }
    // The parser takes any two bytes for the end of a chunk or of its size.
    if (std::exchange(mIsAtLineEnd, false) && mLastBytes != kLineEnd) {
      return Result::Malformed;
    }
  }
  return mComplete ? Result::Complete : Result::Incomplete;
}

AnswerParser::Result AnswerParser::FeedEnd() {
  http_parser_execute(&mParser, &mSettings, nullptr, 0);
  mKeepsConnection = false;
  return mComplete ? Result::Complete : Result::Malformed;
}

std::size_t AnswerParser::BufferedBytes() const {
  return mResponse == nullptr ? 0 : mHeadBytes + mResponse->mBody.size();
}

std::shared_ptr<Response> AnswerParser::Take() {
  return std::exchange(mResponse, nullptr);
}

bool AnswerParser::CountHeadBytes(std::size_t aSize) {
  mHeadBytes += aSize;
  return mHeadBytes <= mLimits.mMaxHead;
}

void AnswerParser::KeepLastBytes(std::string_view aBytes) {
  const std::size_t added = std::min(aBytes.size(), kLineEnd.size());
  mLastBytes.append(aBytes.substr(aBytes.size() - added));
  mLastBytes.erase(
      0, mLastBytes.size() - std::min(mLastBytes.size(), kLineEnd.size()));
}

int AnswerParser::StopAtLineEnd() {
  mIsAtLineEnd = true;
  http_parser_pause(&mParser, 1);
  return kContinue;
}

int AnswerParser::OnField(http_parser* aParser, const char* aData,
                          std::size_t aSize) {
  AnswerParser& self = Owner(aParser);
  if (!self.CountHeadBytes(aSize)) {
    return kAbort;
  }
  if (self.mHeadCheck.IsInTrailers()) {
    return kContinue;
  }
  HeaderList& headers = self.mResponse->mHeaders;
  if (self.mInValue || headers.empty()) {
    headers.emplace_back();
    self.mInValue = false;
  }
  headers.back().first.append(aData, aSize);
  return kContinue;
}

int AnswerParser::OnValue(http_parser* aParser, const char* aData,
                          std::size_t aSize) {
  AnswerParser& self = Owner(aParser);
  if (!self.CountHeadBytes(aSize)) {
    return kAbort;
  }
  if (self.mHeadCheck.IsInTrailers()) {
    return kContinue;
  }
  self.mInValue = true;
  self.mResponse->mHeaders.back().second.append(aData, aSize);
  return kContinue;
}

int AnswerParser::OnHeaders(http_parser* aParser) {
  AnswerParser& self = Owner(aParser);
  self.mResponse->mStatus = static_cast<int>(aParser->status_code);
  if (self.mIsHead || ExcludesBody(self.mResponse->mStatus)) {
    return kNoBodyFollows;
  }
  if (!IsTransferCodingKnown(self.mResponse->mHeaders)) {
    return kAbort;
  }
  // A body whose stated length exceeds the limit is rejected before it arrives.
  const bool hasLength = aParser->content_length != kNoLength;
  if (!hasLength) {
    return kContinue;
  }
  if (aParser->content_length > self.mLimits.mMaxBody) {
    return kAbort;
  }
  // Without this the body is copied each time that it outgrows its buffer.
  self.mResponse->mBody.reserve(aParser->content_length);
  return kContinue;
}

int AnswerParser::OnChunkHeader(http_parser* aParser) {
  AnswerParser& self = Owner(aParser);
  const bool isLast = aParser->content_length == 0;
  if (isLast) {
    self.mHeadCheck.StartTrailers();
  }
  return self.StopAtLineEnd();
}

int AnswerParser::OnChunkComplete(http_parser* aParser) {
  const bool isLast = (aParser->flags & F_TRAILING) != 0;
  return isLast ? kContinue : Owner(aParser).StopAtLineEnd();
}

int AnswerParser::OnBody(http_parser* aParser, const char* aData,
                         std::size_t aSize) {
  AnswerParser& self = Owner(aParser);
  if (self.mResponse->mBody.size() + aSize > self.mLimits.mMaxBody) {
    return kAbort;
  }
  self.mResponse->mBody.append(aData, aSize);
  return kContinue;
}

int AnswerParser::OnComplete(http_parser* aParser) {
  AnswerParser& self = Owner(aParser);
  if (self.mResponse->mStatus < kFirstFinalStatus) {
    self.mResponse = std::make_shared<Response>();
    self.mInValue = false;
    if (++self.mInterimAnswers > kMaxInterimAnswers) {
      return kAbort;
    }
    self.mHeadCheck = AnswerHeadCheck();
    // Stops here, as the next head is to be checked.
    http_parser_pause(aParser, 1);
    return kContinue;
  }
  self.mComplete = true;
  self.mKeepsConnection = http_should_keep_alive(aParser) != 0;
  // Stops here, as bytes that follow are not part of this answer.
  http_parser_pause(aParser, 1);
  return kContinue;
}

}  // namespace papayawheel
