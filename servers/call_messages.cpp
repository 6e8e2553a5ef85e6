#include "servers/call_messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/base/parse_number.h"
#include "core/base/rendezvous.h"
#include "servers/header_names.h"

namespace papayawheel {
namespace {

/** Headers that are not forwarded: they concern one connection, or the HTTP
 * libraries write them. */
constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "connection", "keep-alive",     "proxy-connection",
    "te",         "trailer",        "upgrade",
    "host",       "content-length", "transfer-encoding",
    "expect"};

/** Larger values of the deadline header are refused. */
constexpr std::chrono::milliseconds kMaxCallerTimeout{3'600'000};

std::string ToLower(std::string aText) {
  std::transform(aText.begin(), aText.end(), aText.begin(),
                 [](unsigned char aByte) { return std::tolower(aByte); });
  return aText;
}

bool IsForwardedHeader(const std::string& aLowerName) {
  return !aLowerName.starts_with(header_names::kPrefix) &&
         std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                   aLowerName) == kConnectionHeaders.end();
}

HeaderList ForwardedHeaders(const HeaderList& aHeaders) {
  HeaderList kept;
  for (const auto& [name, value] : aHeaders) {
    if (IsForwardedHeader(ToLower(name))) {
      kept.emplace_back(name, value);
    }
  }
  return kept;
}

std::string FormatMilliseconds(Duration aDuration) {
  // Rounded up, so that a caller that retries after this time is not too early.
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(aDuration);
  return fmt::format("{}", std::max<std::int64_t>(1, millis.count()));
}

std::optional<LoadReport> ReadLoad(const std::string& aText) {
  LoadReport report;
  unsigned running = 0;
  unsigned queued = 0;
  unsigned draining = 0;
  if (std::sscanf(aText.c_str(), "running=%u queued=%u draining=%u", &running,
                  &queued, &draining) != 3) {
    return std::nullopt;
  }
  report.mRunning = running;
  report.mQueued = queued;
  report.mDraining = draining != 0;
  return report;
}

std::shared_ptr<const Response> ReadResponse(const HttpResult& aResult) {
  auto response = std::make_shared<Response>();
  response->mStatus = aResult.mStatus;
  response->mHeaders = ForwardedHeaders(aResult.mAllHeaders);
  response->mBody = aResult.mBody;
  return response;
}

HttpCall BaseCall(const CallRequest& aRequest, const HeaderList& aHeaders,
                  const std::string& aBody, Duration aTimeout) {
  HttpCall call;
  call.mMethod = aRequest.mMethod;
  call.mTarget = aRequest.mTarget;
  call.mBody = aBody;
  call.mTimeout = std::chrono::ceil<std::chrono::milliseconds>(aTimeout);
  call.mHeaders = ForwardedHeaders(aHeaders);
  call.mHeaders.emplace_back(header_names::kCustomer, aRequest.mCustomer);
  call.mHeaders.emplace_back(header_names::kService, aRequest.mService);
  call.mHeaders.emplace_back(header_names::kDeadline,
                             FormatMilliseconds(aTimeout));
  return call;
}

}  // namespace

std::optional<CallRequest> ReadCall(const HttpExchange& aExchange,
                                    std::string& aReason) {
  CallRequest request;
  request.mMethod = aExchange.Method();
  request.mTarget = aExchange.Target();
  request.mCustomer = aExchange.Header(header_names::kCustomer).value_or("");
  request.mService = aExchange.Header(header_names::kService).value_or("");
  request.mKey = aExchange.Header(header_names::kKey).value_or("");
  if (request.mCustomer.empty() || request.mService.empty()) {
    aReason = fmt::format("headers \"{}\" and \"{}\" must be given",
                          header_names::kCustomer, header_names::kService);
    return std::nullopt;
  }
  if (const auto text = aExchange.Header(header_names::kDeadline)) {
    const auto millis = ParseNumber<std::int64_t>(*text);
    if (!millis || *millis < 0 || *millis > kMaxCallerTimeout.count()) {
      aReason = fmt::format("header \"{}\": \"{}\" must be from 0 to {}",
                            header_names::kDeadline, *text,
                            kMaxCallerTimeout.count());
      return std::nullopt;
    }
    request.mCallerTimeout = std::chrono::milliseconds(*millis);
  }
  if (const auto text = aExchange.Header(header_names::kHop)) {
    const auto hop = HopReasonNamed(*text);
    if (!hop) {
      aReason = fmt::format("header \"{}\": \"{}\" is unknown",
                            header_names::kHop, *text);
      return std::nullopt;
    }
    request.mHopReason = *hop;
  }
  request.mBodyHash = StableHash(aExchange.Body());
  return request;
}

HttpCall EndpointCall(const SendToEndpointAction& aAction,
                      const CallRequest& aRequest, const HeaderList& aHeaders,
                      const std::string& aBody) {
  HttpCall call = BaseCall(aRequest, aHeaders, aBody, aAction.mTimeout);
  call.mAddress = aAction.mAddress;
  call.mHeaders.emplace_back(header_names::kAttempt,
                             fmt::format("{}", aAction.mAttempt));
  if (!aRequest.mKey.empty()) {
    call.mHeaders.emplace_back(header_names::kKey, aRequest.mKey);
  }
  return call;
}

HttpCall HostCall(const SendToHostAction& aAction, const CallRequest& aRequest,
                  const HeaderList& aHeaders, const std::string& aBody) {
  HttpCall call = BaseCall(aRequest, aHeaders, aBody, aAction.mTimeout);
  call.mAddress = aAction.mAddress;
  call.mHeaders.emplace_back(header_names::kHop,
                             std::string(HopReasonName(aAction.mHopReason)));
  if (!aRequest.mKey.empty()) {
    call.mHeaders.emplace_back(header_names::kKey, aRequest.mKey);
  }
  return call;
}

EndpointReply ReadEndpointReply(const HttpResult& aResult) {
  EndpointReply reply;
  switch (aResult.mKind) {
    case HttpResultKind::Answered:
      break;
    case HttpResultKind::Refused:
    case HttpResultKind::NotConnected:
      reply.mResult = EndpointResult::NotConnected;
      return reply;
    case HttpResultKind::Lost:
      reply.mResult = EndpointResult::Lost;
      return reply;
    case HttpResultKind::Cut:
      reply.mResult = EndpointResult::Cut;
      return reply;
    case HttpResultKind::TimedOut:
      reply.mResult = EndpointResult::TimedOut;
      return reply;
  }
  reply.mReport = ReadLoad(aResult.Header(header_names::kLoad));
  if (aResult.Header(header_names::kOutcome) == OutcomeName(Outcome::NotRun)) {
    reply.mResult = EndpointResult::Shed;
    return reply;
  }
  reply.mResult = EndpointResult::Answered;
  reply.mResponse = ReadResponse(aResult);
  return reply;
}

HostReply ReadHostReply(const HttpResult& aResult) {
  using Result = HostReply::Result;
  HostReply reply;
  switch (aResult.mKind) {
    case HttpResultKind::Answered:
      reply.mResult = Result::Answered;
      break;
    case HttpResultKind::Refused:
      reply.mResult = Result::Refused;
      return reply;
    case HttpResultKind::NotConnected:
      reply.mResult = Result::NotConnected;
      return reply;
    case HttpResultKind::Lost:
    case HttpResultKind::Cut:
      reply.mResult = Result::Lost;
      return reply;
    case HttpResultKind::TimedOut:
      reply.mResult = Result::TimedOut;
      return reply;
  }
  reply.mOutcome = ParseOutcome(aResult.Header(header_names::kOutcome))
                       .value_or(Outcome::Unknown);
  reply.mError = ParseErrorKind(aResult.Header(header_names::kError));
  const auto retryAfter =
      ParseNumber<std::int64_t>(aResult.Header(header_names::kRetryAfter));
  reply.mRetryAfter = std::chrono::milliseconds(retryAfter.value_or(0));
  if (reply.mOutcome == Outcome::Answered && !reply.mError) {
    reply.mResponse = ReadResponse(aResult);
  }
  return reply;
}

HttpReply CallerReply(const AnswerAction& aAction) {
  if (aAction.mResponse == nullptr) {
    return ErrorReply(aAction.mError, aAction.mRetryAfter, "");
  }
  HttpReply reply;
  reply.mStatus = aAction.mResponse->mStatus;
  reply.mContentType.clear();
  reply.mHeaders = aAction.mResponse->mHeaders;
  reply.mHeaders.emplace_back(header_names::kOutcome,
                              std::string(OutcomeName(Outcome::Answered)));
  reply.mBody = aAction.mResponse->mBody;
  return reply;
}

HttpReply ErrorReply(ErrorKind aError, Duration aRetryAfter,
                     const std::string& aDetail) {
  const ErrorAnswer& answer = AnswerOf(aError);
  HttpReply reply;
  reply.mStatus = answer.mStatus;
  reply.mHeaders.emplace_back(header_names::kOutcome,
                              std::string(OutcomeName(answer.mOutcome)));
  reply.mHeaders.emplace_back(header_names::kError, std::string(answer.mName));
  nlohmann::json body{{"outcome", OutcomeName(answer.mOutcome)},
                      {"error", answer.mName},
                      {"message", answer.mMessage}};
  if (!aDetail.empty()) {
    body["detail"] = aDetail;
  }
  if (answer.mRetryAdvice == RetryAdvice::After) {
    const std::string millis = FormatMilliseconds(aRetryAfter);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
    reply.mHeaders.emplace_back(header_names::kRetryAfter, millis);
    reply.mHeaders.emplace_back("Retry-After",
                                fmt::format("{}", seconds.count()));
    body["retry_after_ms"] = *ParseNumber<std::int64_t>(millis);
  } else if (answer.mRetryAdvice == RetryAdvice::AskOutcome) {
    body["ask"] = "/papayawheel/v1/outcome?key=...";
  }
  reply.mBody =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

}  // namespace papayawheel
