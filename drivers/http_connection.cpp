#include "drivers/http_connection.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <zlib.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <climits>
#include <exception>
#include <string_view>
#include <utility>

#include "drivers/header_text.h"
#include "drivers/log.h"

namespace papayawheel {
namespace {

/** Smaller bodies do not benefit from compression. */
constexpr std::size_t kMinCompressedBytes = 1024;
/** The fastest level of zlib, because hosts have little processor time. */
constexpr int kFastestZlibLevel = 1;
/** Window size that makes zlib write a gzip header. */
constexpr int kGzipWindowBits = 15 + 16;
constexpr int kDefaultZlibMemory = 8;

constexpr std::size_t kMaxUrl = 8192;
constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMaxFieldName = 8192;
constexpr std::size_t kMaxFieldValue = 8192;

/** While one request is handled, the server already reads the next one, so that
 * it notices at once when the caller closes the connection. */
constexpr std::size_t kMaxPipelinedRequests = 2;

/** A connection that made progress within this time is not closed to make room
 * for a request. */
constexpr std::chrono::seconds kMinStall{1};
/** Maximum number of connections closed to make room for one piece. */
constexpr int kMaxEvictions = 8;

/** Time for the peer to read an answer while it still sends the request. */
constexpr std::chrono::seconds kLingerTime{2};

/** Bodies of unknown length start with this capacity. */
constexpr std::size_t kFirstCapacity = 4096;
/** Answers up to this size are not counted. */
constexpr std::size_t kUncountedAnswer = 4096;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

std::string_view ReasonOf(int aStatus) {
  switch (aStatus) {
    case kBadRequest:
      return "the request is malformed";
    case kRequestTimeout:
      return "the request did not arrive completely in time";
    case kTooLarge:
      return "the body is larger than the limit";
    case kHeadTooLarge:
      return "the head is larger than the limit";
    default:
      return "the host has no room for the request";
  }
}

/** Returns nothing if zlib fails. */
std::optional<std::string> GzipCompress(const std::string& aText) {
  z_stream stream{};
  if (deflateInit2(&stream, kFastestZlibLevel, Z_DEFLATED, kGzipWindowBits,
                   kDefaultZlibMemory, Z_DEFAULT_STRATEGY) != Z_OK) {
    return std::nullopt;
  }
  std::string compressed(deflateBound(&stream, aText.size()), '\0');
  // zlib does not change its input.
  stream.next_in = const_cast<Bytef*>(  // NOLINT
      reinterpret_cast<const Bytef*>(aText.data()));
  stream.avail_in = static_cast<uInt>(aText.size());
  stream.next_out = reinterpret_cast<Bytef*>(compressed.data());
  stream.avail_out = static_cast<uInt>(compressed.size());
  const bool done = deflate(&stream, Z_FINISH) == Z_STREAM_END;
  compressed.resize(stream.total_out);
  deflateEnd(&stream);
  return done ? std::optional(std::move(compressed)) : std::nullopt;
}

class ConnectionExchange : public HttpExchange {
 public:
  ConnectionExchange(std::weak_ptr<HttpConnection> aConnection,
                     std::uint64_t aConnectionId,
                     std::shared_ptr<const HttpRequestData> aRequest,
                     std::uint64_t aNumber)
      : mConnection(std::move(aConnection)),
        mConnectionId(aConnectionId),
        mRequest(std::move(aRequest)),
        mNumber(aNumber) {}

  std::string Method() const override { return mRequest->mMethod; }
  std::string Target() const override { return mRequest->mTarget; }
  std::optional<std::string> Header(const std::string& aName) const override {
    return FindHeader(mRequest->mHeaders, aName);
  }
  HeaderList Headers() const override { return mRequest->mHeaders; }
  const std::string& Body() const override { return mRequest->mBody; }
  std::shared_ptr<const std::string> SharedBody() const override {
    return {mRequest, &mRequest->mBody};
  }
  std::uint64_t ConnectionId() const override { return mConnectionId; }

  void Reply(const HttpReply& aReply) override {
    if (const auto connection = mConnection.lock()) {
      connection->Reply(mNumber, aReply);
    }
  }

 private:
  std::weak_ptr<HttpConnection> mConnection;
  std::uint64_t mConnectionId;
  std::shared_ptr<const HttpRequestData> mRequest;
  std::uint64_t mNumber;
};

const std::string& BodyOf(const HttpReply& aReply) {
  return aReply.mSharedBody != nullptr ? *aReply.mSharedBody : aReply.mBody;
}

}  // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> aServer,
                               asio::ip::tcp::socket aSocket, std::uint64_t aId)
    : mServer(std::move(aServer)),
      mSocket(std::move(aSocket)),
      mId(aId),
      mNumber(++mServer->mMemory->mLastNumber),
      mActiveAt(Now()) {
  mServer->mMemory->mConnections.emplace(mNumber, this);
}

HttpConnection::~HttpConnection() {
  mServer->mMemory->mConnections.erase(mNumber);
}

void HttpConnection::Start() { Read(); }

void HttpConnection::Close() {
  if (mClosed) {
    return;
  }
  mClosed = true;
  const auto self = shared_from_this();
  asio::error_code ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  mSocket.close(ignored);
  mServer->mUnsent -= static_cast<std::size_t>(
      std::count_if(mAnswers.begin(), mAnswers.end(),
                    [](const Answer& aAnswer) { return aAnswer.mReady; }));
  mRequest.reset();
  mServer->mMemory->mConnections.erase(mNumber);
  mServer->mConnections.erase(mId);
  // A cancelled write no longer reads its buffers.
  mAnswers.clear();
  if (mServer->mClosedHandler) {
    mServer->mClosedHandler(mId);
  }
}

void HttpConnection::Evict() {
  ++mServer->mCounts.mEvicted;
  Close();
}

void HttpConnection::CheckTimeouts(TimePoint aNow) {
  const HttpServerSettings& settings = mServer->mSettings;
  if (mLingers) {
    if (aNow - mRequestBegan > kLingerTime) {
      Close();
    }
    return;
  }
  if (mWriting) {
    int unacknowledged = 0;
    if (ioctl(mSocket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 &&
        unacknowledged != mUnacknowledged) {
      mUnacknowledged = unacknowledged;
      mActiveAt = aNow;
    }
    if (aNow - mActiveAt > settings.mWriteTimeout) {
      ++mServer->mCounts.mUnread;
      Close();
    }
    return;
  }
  if (mRequest) {
    const auto limit =
        mHeadComplete ? settings.mIdleTimeout : settings.mHeadTimeout;
    if (aNow - mRequestBegan > limit) {
      Refuse(kRequestTimeout);
    }
    return;
  }
  if (mAnswers.empty() && aNow - mActiveAt > settings.mIdleTimeout) {
    Close();
  }
}

void HttpConnection::Reply(std::uint64_t aRequest, const HttpReply& aReply) {
  const std::uint64_t index = aRequest - mFirstAnswer;
  if (mClosed || aRequest < mFirstAnswer || index >= mAnswers.size() ||
      mAnswers[index].mReady) {
    return;
  }
  Answer& answer = mAnswers[index];
  answer.mReady = true;
  answer.mReply = aReply;
  ++mServer->mUnsent;
  if (aReply.mMayCompress && answer.mAcceptsGzip &&
      BodyOf(aReply).size() >= kMinCompressedBytes) {
    if (auto compressed = GzipCompress(BodyOf(aReply))) {
      answer.mReply.mBody = std::move(*compressed);
      answer.mReply.mSharedBody.reset();
      answer.mReply.mHeaders.emplace_back("Content-Encoding", "gzip");
    }
  }
  if (aReply.mClose) {
    mCloses = true;
    mStopsReading = true;
  }
  ByteAccount& account = mServer->mMemory->mAccount;
  if (const std::size_t size = BodyOf(answer.mReply).size();
      size > kUncountedAnswer) {
    answer.mHolding = std::make_unique<ByteAccount::Holding>(account, mNumber);
    answer.mHolding->AddHeld(size, Now());
  }
  if (account.IsOver()) {
    // The caller of this function must not see connections close meanwhile.
    asio::post(mSocket.get_executor(), [server = mServer] {
      HttpMemory& memory = *server->mMemory;
      while (memory.mAccount.IsOver()) {
        const auto victim =
            memory.mAccount.MostStalled(server->mClock.Now(), Duration::zero());
        if (!victim || !memory.mConnections.contains(*victim)) {
          return;
        }
        memory.mConnections.at(*victim)->Evict();
      }
    });
  }
  WriteNext();
}

HttpConnection& HttpConnection::Self(http_parser* aParser) {
  return *static_cast<HttpConnection*>(aParser->data);
}

http_parser_settings HttpConnection::MakeCallbacks() {
  http_parser_settings callbacks{};
  http_parser_settings_init(&callbacks);
  callbacks.on_url = [](http_parser* aParser, const char* aText,
                        std::size_t aLength) {
    return Self(aParser).AppendTarget(aText, aLength);
  };
  callbacks.on_header_field = [](http_parser* aParser, const char* aText,
                                 std::size_t aLength) {
    return Self(aParser).AppendName(aText, aLength);
  };
  callbacks.on_header_value = [](http_parser* aParser, const char* aText,
                                 std::size_t aLength) {
    return Self(aParser).AppendValue(aText, aLength);
  };
  callbacks.on_headers_complete = [](http_parser* aParser) {
    return Self(aParser).EndHead();
  };
  callbacks.on_body = [](http_parser* aParser, const char* aText,
                         std::size_t aLength) {
    return Self(aParser).AppendBody(aText, aLength);
  };
  callbacks.on_message_complete = [](http_parser* aParser) {
    Self(aParser).mRequestComplete = true;
    http_parser_pause(aParser, 1);
    return 0;
  };
  return callbacks;
}

const http_parser_settings HttpConnection::kCallbacks = MakeCallbacks();

int HttpConnection::AppendTarget(const char* aText, std::size_t aLength) {
  mRequest->mTarget.append(aText, aLength);
  if (mRequest->mTarget.size() > kMaxUrl) {
    mRefusal = kHeadTooLarge;
    return -1;
  }
  return 0;
}

int HttpConnection::AppendName(const char* aText, std::size_t aLength) {
  if (mHeadComplete) {
    return 0;  // Trailers are not used.
  }
  HeaderList& headers = mRequest->mHeaders;
  if (mHasValue) {
    headers.emplace_back();
    mHasValue = false;
  }
  headers.back().first.append(aText, aLength);
  if (headers.size() > kMaxFields ||
      headers.back().first.size() > kMaxFieldName) {
    mRefusal = kHeadTooLarge;
    return -1;
  }
  return 0;
}

int HttpConnection::AppendValue(const char* aText, std::size_t aLength) {
  if (mHeadComplete) {
    return 0;
  }
  std::string& value = mRequest->mHeaders.back().second;
  value.append(aText, aLength);
  mHasValue = true;
  if (value.size() >= kMaxFieldValue) {
    mRefusal = kHeadTooLarge;
    return -1;
  }
  return 0;
}

int HttpConnection::EndHead() {
  mHeadComplete = true;
  const std::uint64_t length = mParser.content_length;
  if (length == ULLONG_MAX || length == 0) {
    return 0;
  }
  if (length > mServer->mSettings.mMaxBody) {
    mRefusal = kTooLarge;
    return -1;
  }
  if (!TakeRoom(length)) {
    mRefusal = kUnavailable;
    return -1;
  }
  mRequest->mBody.reserve(length);
  return 0;
}

int HttpConnection::AppendBody(const char* aText, std::size_t aLength) {
  std::string& body = mRequest->mBody;
  const std::size_t size = body.size() + aLength;
  if (size > mServer->mSettings.mMaxBody) {
    mRefusal = kTooLarge;
    return -1;
  }
  const bool isChunked = (mParser.flags & F_CHUNKED) != 0;
  if (isChunked && !TakeRoom(aLength)) {
    mRefusal = kUnavailable;
    return -1;
  }
  if (size > body.capacity()) {
    body.reserve(std::max({kFirstCapacity, size, 2 * body.capacity()}));
  }
  body.append(aText, aLength);
  return 0;
}

bool HttpConnection::TakeRoom(std::size_t aBytes) {
  HttpMemory& memory = *mServer->mMemory;
  for (int evictions = 0; evictions <= kMaxEvictions; ++evictions) {
    if (mRequest->mHolding.Add(aBytes, Now())) {
      return true;
    }
    const auto victim = memory.mAccount.MostStalled(Now(), kMinStall);
    if (!victim || *victim == mNumber ||
        !memory.mConnections.contains(*victim)) {
      return false;
    }
    memory.mConnections.at(*victim)->Evict();
  }
  return false;
}

void HttpConnection::Read() {
  if (mClosed || mReading) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](const asio::error_code& aError,
                                  std::size_t aSize) {
        self->mReading = false;
        self->HandleRead(aError, aSize);
      });
}

void HttpConnection::HandleRead(const asio::error_code& aError,
                                std::size_t aSize) {
  if (mClosed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  mActiveAt = mWriting ? mActiveAt : Now();
  if (mRequest) {
    mRequest->mHolding.NoteTransfer(aSize, Now());
  }
  mBegin = 0;
  mEnd = aSize;
  Parse();
}

void HttpConnection::Parse() {
  while (!mClosed && !mStopsReading && mBegin < mEnd) {
    if (!mRequest) {
      if (mAnswers.size() >= kMaxPipelinedRequests) {
        return;
      }
      const char next = mBuffer.at(mBegin);
      if (next == '\r' || next == '\n') {
        ++mBegin;
        continue;
      }
      BeginRequest();
    }
    if (!mHeadComplete && !TakeRoom(mEnd - mBegin)) {
      Refuse(kUnavailable);
      break;
    }
    mBegin += http_parser_execute(&mParser, &kCallbacks,
                                  mBuffer.data() + mBegin, mEnd - mBegin);
    const http_errno error = HTTP_PARSER_ERRNO(&mParser);
    if (mRequestComplete) {
      EndRequest();
    } else if (error != HPE_OK) {
      const int status =
          error == HPE_HEADER_OVERFLOW ? kHeadTooLarge : kBadRequest;
      Refuse(mRefusal != 0 ? mRefusal : status);
    }
  }
  Read();
}

void HttpConnection::BeginRequest() {
  mRequest = std::make_shared<HttpRequestData>(mServer->mMemory, mNumber);
  http_parser_init(&mParser, HTTP_REQUEST);
  mParser.data = this;
  mHeadComplete = false;
  mRequestComplete = false;
  mHasValue = true;
  mRequestBegan = Now();
}

void HttpConnection::EndRequest() {
  const std::shared_ptr<HttpRequestData> request = std::move(mRequest);
  mRequest.reset();
  const auto method = static_cast<http_method>(mParser.method);
  request->mMethod = http_method_str(method);
  request->mKeepAlive =
      mParser.upgrade == 0 && http_should_keep_alive(&mParser) != 0;
  request->mHolding.SetEvictable(false);
  Answer answer;
  answer.mIsHead = method == HTTP_HEAD;
  answer.mKeepAlive = request->mKeepAlive;
  const auto accepted = FindHeader(request->mHeaders, "Accept-Encoding");
  answer.mAcceptsGzip = accepted && accepted->find("gzip") != std::string::npos;
  mAnswers.push_back(std::move(answer));
  if (!request->mKeepAlive) {
    mCloses = true;
    mStopsReading = true;
  }
  const std::uint64_t number = mFirstAnswer + mAnswers.size() - 1;
  try {
    mServer->mHandler(std::make_shared<ConnectionExchange>(
        weak_from_this(), mId, request, number));
  } catch (const std::exception& error) {
    Log(LogLevel::Error, "handler_failed",
        {{"thread", "http"}, {"reason", error.what()}});
    Close();
  }
}

void HttpConnection::Refuse(int aStatus) {
  HttpServerCounts& counts = mServer->mCounts;
  counts.mTooLarge += aStatus == kTooLarge ? 1 : 0;
  counts.mNoRoom += aStatus == kUnavailable ? 1 : 0;
  counts.mTooSlow += aStatus == kRequestTimeout ? 1 : 0;
  mRefusal = aStatus;
  mRequest.reset();
  mStopsReading = true;
  mCloses = true;
  Answer answer;
  answer.mReady = true;
  answer.mReply.mStatus = aStatus;
  answer.mReply.mContentType = "text/plain";
  answer.mReply.mBody = fmt::format("{}\n", ReasonOf(aStatus));
  if (aStatus == kUnavailable) {
    answer.mReply.mHeaders.emplace_back("Retry-After", "1");
  }
  ++mServer->mUnsent;
  mAnswers.push_back(std::move(answer));
  WriteNext();
}

std::string HttpConnection::RenderHead(const Answer& aAnswer,
                                       std::size_t aLength, bool aClose) const {
  const HttpReply& reply = aAnswer.mReply;
  std::string head = fmt::format("HTTP/1.1 {} Status\r\n", reply.mStatus);
  for (const auto& [name, value] : reply.mHeaders) {
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
  }
  if (!reply.mContentType.empty()) {
    head += fmt::format("Content-Type: {}\r\n", reply.mContentType);
  }
  head += aClose ? "Connection: close\r\n" : "Connection: keep-alive\r\n";
  head += fmt::format("Content-Length: {}\r\n\r\n", aLength);
  return head;
}

void HttpConnection::WriteNext() {
  if (mClosed || mWriting || mAnswers.empty() || !mAnswers.front().mReady) {
    return;
  }
  const Answer& answer = mAnswers.front();
  const bool closes = mCloses && mAnswers.size() == 1;
  mOutHead = RenderHead(answer, BodyOf(answer.mReply).size(), closes);
  mWritten = 0;
  mWriting = true;
  mActiveAt = Now();
  Write();
}

void HttpConnection::Write() {
  const Answer& answer = mAnswers.front();
  const std::string& body = BodyOf(answer.mReply);
  std::array<asio::const_buffer, 2> buffers;
  if (mWritten < mOutHead.size()) {
    buffers[0] = asio::buffer(mOutHead) + mWritten;
  }
  if (!answer.mIsHead) {
    const std::size_t sent =
        mWritten > mOutHead.size() ? mWritten - mOutHead.size() : 0;
    buffers[1] = asio::buffer(body) + sent;
  }
  mSocket.async_write_some(
      buffers, [self = shared_from_this()](const asio::error_code& aError,
                                           std::size_t aSize) {
        self->HandleWrite(aError, aSize);
      });
}

void HttpConnection::HandleWrite(const asio::error_code& aError,
                                 std::size_t aSize) {
  if (mClosed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  mWritten += aSize;
  mActiveAt = Now();
  const Answer& answer = mAnswers.front();
  if (answer.mHolding) {
    answer.mHolding->NoteTransfer(aSize, mActiveAt);
  }
  const std::size_t body = answer.mIsHead ? 0 : BodyOf(answer.mReply).size();
  if (mWritten < mOutHead.size() + body) {
    Write();
    return;
  }
  FinishAnswer();
}

void HttpConnection::FinishAnswer() {
  mWriting = false;
  const bool closes = mCloses && mAnswers.size() == 1;
  mAnswers.pop_front();
  ++mFirstAnswer;
  --mServer->mUnsent;
  if (closes) {
    Linger();
    return;
  }
  WriteNext();
  Parse();
}

void HttpConnection::Linger() {
  const bool isReadWhole = mRequest == nullptr && mBegin == mEnd;
  mRequest.reset();
  if (mRefusal == 0 && isReadWhole) {
    Close();
    return;
  }
  mLingers = true;
  mRequestBegan = Now();
  asio::error_code ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

}  // namespace papayawheel
