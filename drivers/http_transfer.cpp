#include "drivers/http_transfer.h"

#include <algorithm>
#include <cctype>
#include <cerrno>

#include "core/base/parse_number.h"
#include "drivers/status_line.h"

namespace papayawheel {
namespace {

/** Bytes of the head of an answer, with those of interim answers and trailers.
 * A peer that sends more is faulty. */
constexpr std::size_t kMaxHeadBytes = 64U << 10U;

/** Bytes of the unfinished answers of all transfers of a client. The smallest
 * hosts have 112 MB of memory. */
constexpr std::size_t kMaxUnfinishedBytes = 32U << 20U;

constexpr const char* kLengthHeader = "content-length";

std::string ToLower(std::string aText) {
  std::transform(aText.begin(), aText.end(), aText.begin(),
                 [](unsigned char aByte) { return std::tolower(aByte); });
  return aText;
}

std::string Trim(const std::string& aText) {
  const auto first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return "";
  }
  const auto last = aText.find_last_not_of(" \t\r\n");
  return aText.substr(first, last - first + 1);
}

bool IsSelfDelimited(const HttpTransfer& aTransfer) {
  const HttpResult& result = aTransfer.mResult;
  const bool bodiless = aTransfer.mIsHead || ExcludesBody(result.mStatus);
  return bodiless || result.mHeaders.contains(kLengthHeader) ||
         ToLower(result.Header("transfer-encoding")) == "chunked";
}

/** Whether a value states the length of a body, and the same as a field before
 * it. libcurl takes the last of several, and of each the digits that it begins
 * with. */
bool IsLengthValid(const HttpResult& aResult, const std::string& aValue) {
  const auto before = aResult.mHeaders.find(kLengthHeader);
  const bool differs =
      before != aResult.mHeaders.end() && before->second != aValue;
  return !differs && !aValue.starts_with('-') &&
         ParseNumber<curl_off_t>(aValue).has_value();
}

}  // namespace

std::size_t HttpTransfer::OnBody(char* aData, std::size_t aSize,
                                 std::size_t aCount, void* aTransfer) {
  auto& transfer = *static_cast<HttpTransfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer.mBodyBytes + bytes > transfer.mMaxAnswer ||
      !transfer.Reserve(bytes)) {
    return 0;
  }
  transfer.mBodyBytes += bytes;
  transfer.mResult.mBody.append(aData, bytes);
  return bytes;
}

std::size_t HttpTransfer::OnHeader(char* aData, std::size_t aSize,
                                   std::size_t aCount, void* aTransfer) {
  auto& transfer = *static_cast<HttpTransfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer.mHeadBytes + bytes > kMaxHeadBytes || !transfer.Reserve(bytes)) {
    return 0;
  }
  transfer.mHeadBytes += bytes;
  const std::string line(aData, bytes);
  HttpResult& result = transfer.mResult;
  const bool isStatusLine = transfer.BeginLine();
  if (!transfer.mHeadCheck.Feed(line)) {
    transfer.mHasMalformedLine = true;
    return 0;
  }
  if (isStatusLine) {
    // The headers before it belong to an interim answer.
    result.mHeaders.clear();
    result.mAllHeaders.clear();
    return bytes;
  }
  if (transfer.mHeadCheck.IsInTrailers()) {
    // A field after the body must not change what the head says.
    return bytes;
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    const std::string name = line.substr(0, colon);
    const std::string key = ToLower(name);
    const std::string value = Trim(line.substr(colon + 1));
    if (key == kLengthHeader && !IsLengthValid(result, value)) {
      transfer.mHasMalformedLine = true;
      return 0;
    }
    result.mHeaders[key] = value;
    result.mAllHeaders.emplace_back(name, value);
  }
  return bytes;
}

bool HttpTransfer::Reserve(std::size_t aBytes) {
  if (mUnfinishedBytes + aBytes > kMaxUnfinishedBytes) {
    return false;
  }
  mUnfinishedBytes += aBytes;
  return true;
}

bool HttpTransfer::BeginLine() {
  if (mHeadCheck.IsComplete()) {
    if (mHeadCheck.IsInterim()) {
      mHeadCheck = AnswerHeadCheck();
    } else {
      mHeadCheck.StartTrailers();
    }
  }
  return mHeadCheck.IsAtStatusLine();
}

int HttpTransfer::OnBeforeWrite(void* aTransfer, char* /*aRemoteIp*/,
                                char* /*aLocalIp*/, int /*aRemotePort*/,
                                int /*aLocalPort*/) {
  auto& transfer = *static_cast<HttpTransfer*>(aTransfer);
  if (transfer.mWritten) {
    // libcurl retries a request when a reused connection breaks before the
    // answer, but the peer may have run the request already.
    return CURL_PREREQFUNC_ABORT;
  }
  transfer.mWritten = true;
  return CURL_PREREQFUNC_OK;
}

HttpResultKind HttpTransfer::KindOf(CURLcode aCode) const {
  if (aCode == CURLE_OK) {
    return IsSelfDelimited(*this) ? HttpResultKind::Answered
                                  : HttpResultKind::Cut;
  }
  if (!mWritten) {
    long error = 0;
    curl_easy_getinfo(mHandle, CURLINFO_OS_ERRNO, &error);
    return error == ECONNREFUSED ? HttpResultKind::Refused
                                 : HttpResultKind::NotConnected;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return HttpResultKind::TimedOut;
  }
  // libcurl itself rejects some lines, with these codes.
  const bool isMalformed =
      mHasMalformedLine || aCode == CURLE_UNSUPPORTED_PROTOCOL ||
      aCode == CURLE_WEIRD_SERVER_REPLY || aCode == CURLE_BAD_FUNCTION_ARGUMENT;
  return mResult.mHeaders.empty() && !isMalformed ? HttpResultKind::Lost
                                                  : HttpResultKind::Cut;
}

}  // namespace papayawheel
