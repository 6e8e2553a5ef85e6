#include "drivers/answer_parser.h"

#include <utility>

namespace papayawheel {
namespace {

constexpr int kFirstFinalStatus = 200;

/** Larger answers are not taken. */
constexpr std::size_t kMaxBody = 64U << 20U;

AnswerParser& Owner(http_parser* aParser) {
  return *static_cast<AnswerParser*>(aParser->data);
}

}  // namespace

AnswerParser::AnswerParser() {
  http_parser_settings_init(&mSettings);
  mSettings.on_header_field = &AnswerParser::OnField;
  mSettings.on_header_value = &AnswerParser::OnValue;
  mSettings.on_headers_complete = &AnswerParser::OnHeaders;
  mSettings.on_body = &AnswerParser::OnBody;
  mSettings.on_message_complete = &AnswerParser::OnComplete;
  Expect(false);
}

void AnswerParser::Expect(bool aIsHead) {
  http_parser_init(&mParser, HTTP_RESPONSE);
  mParser.data = this;
  mResponse = std::make_shared<Response>();
  mIsHead = aIsHead;
  mHasBegun = false;
  mInValue = false;
  mComplete = false;
  mKeepsConnection = false;
}

AnswerParser::Result AnswerParser::Feed(const char* aData, std::size_t aSize,
                                        std::size_t& aUsed) {
  mHasBegun = mHasBegun || aSize > 0;
  aUsed = 0;
  while (aUsed < aSize && !mComplete) {
    const std::size_t parsed =
        http_parser_execute(&mParser, &mSettings, aData + aUsed, aSize - aUsed);
    aUsed += parsed;
    const auto error = HTTP_PARSER_ERRNO(&mParser);
    if (error == HPE_PAUSED) {
      http_parser_pause(&mParser, 0);
      continue;
    }
    if (error != HPE_OK || mParser.upgrade != 0) {
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

std::shared_ptr<Response> AnswerParser::Take() {
  return std::exchange(mResponse, nullptr);
}

int AnswerParser::OnField(http_parser* aParser, const char* aData,
                          std::size_t aSize) {
  AnswerParser& self = Owner(aParser);
  HeaderList& headers = self.mResponse->mHeaders;
  if (self.mInValue || headers.empty()) {
    headers.emplace_back();
    self.mInValue = false;
  }
  headers.back().first.append(aData, aSize);
  return 0;
}

int AnswerParser::OnValue(http_parser* aParser, const char* aData,
                          std::size_t aSize) {
  AnswerParser& self = Owner(aParser);
  self.mInValue = true;
  self.mResponse->mHeaders.back().second.append(aData, aSize);
  return 0;
}

int AnswerParser::OnHeaders(http_parser* aParser) {
  AnswerParser& self = Owner(aParser);
  self.mResponse->mStatus = static_cast<int>(aParser->status_code);
  return self.mIsHead ? 1 : 0;
}

int AnswerParser::OnBody(http_parser* aParser, const char* aData,
                         std::size_t aSize) {
  AnswerParser& self = Owner(aParser);
  if (self.mResponse->mBody.size() + aSize > kMaxBody) {
    return 1;
  }
  self.mResponse->mBody.append(aData, aSize);
  return 0;
}

int AnswerParser::OnComplete(http_parser* aParser) {
  AnswerParser& self = Owner(aParser);
  if (self.mResponse->mStatus < kFirstFinalStatus) {
    self.mResponse = std::make_shared<Response>();
    self.mInValue = false;
    return 0;
  }
  self.mComplete = true;
  self.mKeepsConnection = http_should_keep_alive(aParser) != 0;
  // What follows belongs to no request.
  http_parser_pause(aParser, 1);
  return 0;
}

}  // namespace papayawheel
