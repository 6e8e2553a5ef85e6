#include "servers/gateway_messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "core/base/parse_number.h"
#include "core/base/rendezvous.h"
#include "drivers/header_text.h"
#include "platform/caller_protocol.h"
#include "platform/protocol_names.h"
#include "servers/http_status.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Maximum idle time of a connection that is reused for a request that must not
 * run twice: the endpoint may be closing a connection that was idle longer. */
constexpr milliseconds kMaxFreshIdle{1000};
/** Maximum idle time of a connection that is reused for other requests. */
constexpr milliseconds kMaxIdle{3'600'000};

/** Larger values of the caller's deadline header are reduced to this. */
constexpr std::int64_t kMaxCallerTimeoutMs = 3'600'000;

/** Reads from an answer whether the endpoint drains, requests a backoff or
 * names a limit. */
EndpointNotice ReadNotice(const Response& aResponse, NoticeSource aSource) {
  EndpointNotice notice;
  notice.mSource = aSource;
  if (const auto limit =
          FindHeader(aResponse.mHeaders, platform::kLimitHeader)) {
    notice.mLimit = platform::ParseLimit(*limit);
    // A malformed limit says nothing, neither of a limit nor of its end.
    notice.mSource = notice.mLimit ? aSource : NoticeSource::None;
  }
  const auto leaving =
      FindHeader(aResponse.mHeaders, platform::kDrainingHeader);
  notice.mDraining = leaving && *leaving == "1";
  const auto retryAfter =
      FindHeader(aResponse.mHeaders, platform::kRetryAfterHeader);
  if (aResponse.mStatus == http_status::kUnavailable && retryAfter) {
    notice.mBackoff = platform::ParseRetryAfter(*retryAfter);
  }
  return notice;
}

/** Reads from a health answer for how long the endpoint is still cold; empty if
 * the header is malformed, which says nothing. */
std::optional<Duration> ReadColdTime(const Response& aResponse) {
  const auto text = FindHeader(aResponse.mHeaders, platform::kColdHeader);
  return text ? platform::ParseColdTime(*text) : Duration::zero();
}

/** Whether the gateway sets or removes this header of a caller's request. */
bool IsSetByGateway(const std::string& aName) {
  return IsSameName(aName, platform::kDeadlineHeader) ||
         IsSameName(aName, platform::kExpectedEndpointHeader) ||
         IsSameName(aName, "expect");
}

}  // namespace

GatewayRequest ReadGatewayRequest(const HttpExchange& aExchange) {
  GatewayRequest request;
  request.mRequestId =
      aExchange.Header(std::string(platform::kRequestIdHeader)).value_or("");
  request.mMethod = aExchange.Method();
  request.mHost = aExchange.Header("Host").value_or("");
  request.mTarget = aExchange.Target();
  request.mBodyHash = StableHash(aExchange.Body());
  const auto caller = aExchange.Header("Authorization");
  request.mCallerHash = caller ? StableHash(*caller) : 0;
  const auto timeLeft =
      aExchange.Header(std::string(platform::kDeadlineHeader));
  const auto millis =
      timeLeft ? ParseNumber<std::int64_t>(*timeLeft) : std::nullopt;
  if (millis) {
    request.mCallerTimeout =
        milliseconds(std::clamp<std::int64_t>(*millis, 0, kMaxCallerTimeoutMs));
  }
  return request;
}

EndpointRequest WriteEndpointRequest(const HttpExchangePtr& aExchange,
                                     const StartAttempt& aStart) {
  EndpointRequest request;
  request.mEndpoint = aStart.mEndpoint;
  request.mAddress = aStart.mAddress;
  request.mMethod = aExchange->Method();
  request.mTarget = aExchange->Target();
  request.mBody =
      std::shared_ptr<const std::string>(aExchange, &aExchange->Body());
  request.mMaxIdle = aStart.mNeedsFreshConnection ? kMaxFreshIdle : kMaxIdle;
  for (auto& header : EndToEndHeaders(aExchange->Headers())) {
    if (!IsSetByGateway(header.first)) {
      request.mHeaders.push_back(std::move(header));
    }
  }
  const auto millis = std::max<std::int64_t>(
      1, std::chrono::duration_cast<milliseconds>(aStart.mTimeLeft).count());
  request.mHeaders.emplace_back(platform::kDeadlineHeader,
                                fmt::format("{}", millis));
  request.mHeaders.emplace_back(platform::kExpectedEndpointHeader,
                                aStart.mEndpoint);
  request.mEchoName = platform::kRequestIdHeader;
  request.mEchoValue =
      aExchange->Header(std::string(platform::kRequestIdHeader)).value_or("");
  return request;
}

EndpointRequest WriteProbe(const StartProbe& aProbe) {
  EndpointRequest request;
  request.mEndpoint = aProbe.mEndpoint;
  request.mAddress = aProbe.mAddress;
  request.mTarget = aProbe.mHealthPath;
  request.mHeaders.emplace_back("Host", aProbe.mAddress);
  request.mMaxIdle = kMaxIdle;
  request.mEchoName = platform::kRequestIdHeader;
  return request;
}

ProbeReply ReadProbeAnswer(const std::string& aEndpoint,
                           const EndpointAnswer& aAnswer) {
  ProbeReply reply;
  if (aAnswer.mRefused) {
    reply.mLiveness = EndpointLiveness::Refused;
  }
  reply.mHasOtherAnswer = aAnswer.mOutcome == EndpointOutcome::Answered ||
                          aAnswer.mOutcome == EndpointOutcome::Garbled;
  if (aAnswer.mOutcome != EndpointOutcome::Answered) {
    return reply;
  }
  const HeaderList& headers = aAnswer.mResponse->mHeaders;
  const auto endpoint = FindHeader(headers, platform::kEndpointIdHeader);
  if (endpoint.value_or(aEndpoint) != aEndpoint) {
    reply.mLiveness = EndpointLiveness::Replaced;
    return reply;
  }
  // An answer without an endpoint id may come from any program at the address.
  reply.mLiveness =
      endpoint ? EndpointLiveness::Alive : EndpointLiveness::Unknown;
  reply.mNotice = ReadNotice(*aAnswer.mResponse, NoticeSource::Probe);
  reply.mNotice.mColdFor = ReadColdTime(*aAnswer.mResponse);
  if (const auto load = FindHeader(headers, platform::kLoadHeader)) {
    reply.mSample = platform::ParseLoad(*load);
  }
  return reply;
}

AttemptReply ReadEndpointAnswer(EndpointAnswer aAnswer) {
  AttemptReply reply;
  switch (aAnswer.mOutcome) {
    case EndpointOutcome::NotConnected:
      reply.mResult = AttemptResult::NotConnected;
      reply.mLiveness = aAnswer.mRefused ? EndpointLiveness::Refused
                                         : EndpointLiveness::Unknown;
      return reply;
    case EndpointOutcome::Lost:
      reply.mResult = AttemptResult::Lost;
      return reply;
    case EndpointOutcome::Garbled:
      reply.mResult = AttemptResult::Garbled;
      return reply;
    case EndpointOutcome::Answered:
      break;
  }
  Response& response = *aAnswer.mResponse;
  reply.mLiveness = response.mStatus == http_status::kMisdirected
                        ? EndpointLiveness::Replaced
                        : EndpointLiveness::Alive;
  if (const auto load = FindHeader(response.mHeaders, platform::kLoadHeader)) {
    reply.mSample = platform::ParseLoad(*load);
  }
  // If another endpoint has the address now, its notice does not concern the
  // endpoint of this attempt.
  if (response.mStatus != http_status::kMisdirected) {
    reply.mNotice = ReadNotice(response, NoticeSource::Request);
  }
  if (FindHeader(response.mHeaders, platform::kNotRunHeader) ||
      response.mStatus == http_status::kMisdirected) {
    reply.mResult = AttemptResult::NotExecuted;
    return reply;
  }
  if (FindHeader(response.mHeaders, "Content-Encoding")) {
    // No content encoding was requested, so these are not the endpoint's bytes.
    reply.mResult = AttemptResult::Garbled;
    return reply;
  }
  reply.mResult = AttemptResult::Answered;
  response.mHeaders = EndToEndHeaders(response.mHeaders);
  reply.mResponse = std::move(aAnswer.mResponse);
  return reply;
}

HttpReply WriteGatewayReply(const GatewayAnswer& aAnswer) {
  HttpReply reply;
  if (aAnswer.mResponse != nullptr) {
    reply.mStatus = aAnswer.mResponse->mStatus;
    reply.mContentType.clear();
    reply.mHeaders = aAnswer.mResponse->mHeaders;
    // The answer is held once, until it is written.
    reply.mSharedBody = std::shared_ptr<const std::string>(
        aAnswer.mResponse, &aAnswer.mResponse->mBody);
    return reply;
  }
  const ErrorAnswer& error = AnswerOf(aAnswer.mError);
  reply.mStatus = error.mStatus;
  reply.mContentType = "text/plain";
  reply.mBody = fmt::format("{}: {}\n", error.mName, error.mMessage);
  if (error.mRetryAdvice == RetryAdvice::After &&
      aAnswer.mRetryAfter > Duration::zero()) {
    reply.mHeaders.emplace_back(
        platform::kRetryAfterHeader,
        platform::RenderRetryAfter(aAnswer.mRetryAfter));
  }
  return reply;
}

}  // namespace papayawheel
