#pragma once

#include <http_parser.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/limits/byte_account.h"
#include "drivers/http_server.h"
#include "drivers/system_clock.h"

namespace papayawheel {

class HttpConnection;

class HttpMemory {
 public:
  explicit HttpMemory(const ByteBounds& aBounds) : mAccount(aBounds) {}

  ByteAccount mAccount;
  /** Open connections by their number in the account. */
  std::unordered_map<std::size_t, HttpConnection*> mConnections;
  std::size_t mLastNumber = 0;
};

/** What the connections of one server share. */
struct HttpServerState {
  HttpServerSettings mSettings;
  HttpServer::Handler mHandler;
  HttpServer::ClosedHandler mClosedHandler;
  std::shared_ptr<HttpMemory> mMemory;
  SystemClock mClock;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpConnection>>
      mConnections;
  HttpServerCounts mCounts;
  std::size_t mUnsent = 0;
};

/** One request. Its holding ends when neither the connection nor the exchange
 * uses it. */
struct HttpRequestData {
  HttpRequestData(std::shared_ptr<HttpMemory> aMemory, std::size_t aNumber)
      : mMemory(std::move(aMemory)), mHolding(mMemory->mAccount, aNumber) {}

  std::shared_ptr<HttpMemory> mMemory;
  ByteAccount::Holding mHolding;
  std::string mMethod;
  std::string mTarget;
  HeaderList mHeaders;
  std::string mBody;
  bool mKeepAlive = true;
};

/** A connection from a caller: parses requests, passes them to the handler and
 * sends the answers in the order of the requests. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<HttpServerState> aServer,
                 asio::ip::tcp::socket aSocket, std::uint64_t aId);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void Start();
  /** Closes the socket and tells the server's owner. */
  void Close();
  /** Closes the connection to make room for others. */
  void Evict();
  /** Closes or refuses what has taken too long. */
  void CheckTimeouts(TimePoint aNow);
  /** Stores the answer to a request and sends it when its turn comes. */
  void Reply(std::uint64_t aRequest, const HttpReply& aReply);

  [[nodiscard]] std::uint64_t Id() const { return mId; }
  /** Whether no request is in progress. */
  [[nodiscard]] bool IsIdle() const { return mAnswers.empty() && !mRequest; }
  [[nodiscard]] bool HasCompleteRequest() const { return !mAnswers.empty(); }
  /** When the request that is being read began. */
  [[nodiscard]] TimePoint RequestBegan() const { return mRequestBegan; }
  [[nodiscard]] TimePoint LastActive() const { return mActiveAt; }

 private:
  /** The place of an answer in the order of the requests. */
  struct Answer {
    bool mReady = false;
    bool mIsHead = false;
    bool mKeepAlive = true;
    bool mAcceptsGzip = false;
    HttpReply mReply;
    std::unique_ptr<ByteAccount::Holding> mHolding;
  };

  static http_parser_settings MakeCallbacks();
  static const http_parser_settings kCallbacks;
  static HttpConnection& Self(http_parser* aParser);
  int AppendTarget(const char* aText, std::size_t aLength);
  int AppendName(const char* aText, std::size_t aLength);
  int AppendValue(const char* aText, std::size_t aLength);
  int EndHead();
  int AppendBody(const char* aText, std::size_t aLength);

  void Read();
  void HandleRead(const asio::error_code& aError, std::size_t aSize);
  /** Parses the bytes that were read, until a request has to wait. */
  void Parse();
  void BeginRequest();
  void EndRequest();
  /** Answers the request that is being read with an error, and ends reading. */
  void Refuse(int aStatus);
  /** Adds bytes to the holding of the request; closes stalled connections if
   * there is no room. */
  bool TakeRoom(std::size_t aBytes);
  void WriteNext();
  void Write();
  void HandleWrite(const asio::error_code& aError, std::size_t aSize);
  void FinishAnswer();
  /** Discards what the peer still sends, so that it can read the answer. */
  void Linger();
  [[nodiscard]] std::string RenderHead(const Answer& aAnswer,
                                       std::size_t aLength, bool aClose) const;
  [[nodiscard]] TimePoint Now() const { return mServer->mClock.Now(); }

  static constexpr std::size_t kReadBytes = 4096;

  std::shared_ptr<HttpServerState> mServer;
  asio::ip::tcp::socket mSocket;
  std::uint64_t mId;
  /** Number in the account. */
  std::size_t mNumber;
  http_parser mParser{};
  std::array<char, kReadBytes> mBuffer{};
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  /** The request that is being read. */
  std::shared_ptr<HttpRequestData> mRequest;
  bool mHeadComplete = false;
  bool mRequestComplete = false;
  /** Whether the last header has its value already. */
  bool mHasValue = true;
  /** Status with which the request is refused; 0 if it is not. */
  int mRefusal = 0;
  TimePoint mRequestBegan;
  std::deque<Answer> mAnswers;
  /** Number of the first request in mAnswers. */
  std::uint64_t mFirstAnswer = 0;
  bool mReading = false;
  bool mWriting = false;
  /** No further request is read. */
  bool mStopsReading = false;
  /** The connection is closed after the last answer. */
  bool mCloses = false;
  bool mLingers = false;
  bool mClosed = false;
  std::string mOutHead;
  std::size_t mWritten = 0;
  /** Bytes that the peer has not acknowledged, at the last check. */
  int mUnacknowledged = 0;
  TimePoint mActiveAt;
};

}  // namespace papayawheel
