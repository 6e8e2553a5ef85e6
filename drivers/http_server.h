#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/limits/byte_account.h"
#include "core/outcome/response.h"

namespace papayawheel {

/** The answer of a server to one request. */
struct HttpReply {
  int mStatus = 200;
  /** No header is added when this is empty. */
  std::string mContentType = "application/json";
  HeaderList mHeaders;
  std::string mBody;
  /** Sent instead of mBody if it is set. */
  std::shared_ptr<const std::string> mSharedBody;
  /** Closes the connection after the answer to the last request that was read
   * on it. */
  bool mClose = false;
  /** Compresses the body if it is large and the peer accepts gzip. */
  bool mMayCompress = false;
};

/** One received request and the means to answer it. It may be kept and answered
 * later, but only on the thread of the server. */
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual std::string Method() const = 0;
  /** Path and query. */
  [[nodiscard]] virtual std::string Target() const = 0;
  [[nodiscard]] virtual std::optional<std::string> Header(
      const std::string& aName) const = 0;
  /** All headers, in the order of the message. */
  [[nodiscard]] virtual HeaderList Headers() const = 0;
  [[nodiscard]] virtual const std::string& Body() const = 0;
  /** The body, which stays valid without the exchange. */
  [[nodiscard]] virtual std::shared_ptr<const std::string> SharedBody() const {
    return std::make_shared<const std::string>(Body());
  }
  /** Id of the connection, unique within its server. */
  [[nodiscard]] virtual std::uint64_t ConnectionId() const = 0;
  /** Sends the answer; calls after the first are ignored. */
  virtual void Reply(const HttpReply& aReply) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/** What the servers of one thread hold for their callers. */
class HttpMemory;
std::shared_ptr<HttpMemory> MakeHttpMemory(const ByteBounds& aBounds);

struct HttpServerSettings {
  std::string mIp = "127.0.0.1";
  std::uint16_t mPort = 0;
  /** Larger request bodies, in bytes, are refused with 413. */
  std::size_t mMaxBody = 8U << 20U;
  /** A connection that has no request for this long is closed. A request that
   * has not arrived completely after this time is refused with 408. */
  std::chrono::milliseconds mIdleTimeout{60'000};
  /** A head that has not arrived completely after this time is refused with
   * 408. */
  std::chrono::milliseconds mHeadTimeout{10'000};
  /** A connection whose peer takes nothing of an answer for this long is
   * closed. */
  std::chrono::milliseconds mWriteTimeout{10'000};
  /** Maximum number of connections; 0 for no limit. */
  std::size_t mMaxConnections = 0;
  /** The server has an account of its own with default bounds if this is
   * null. */
  std::shared_ptr<HttpMemory> mMemory;
  /** Sets SO_REUSEPORT, so that several servers of one process share the
   * port. */
  bool mSharePort = false;
};

/** What a server refused or closed because of its limits. */
struct HttpServerCounts {
  /** Requests refused with 413. */
  std::uint64_t mTooLarge = 0;
  /** Requests refused with 503 for lack of room. */
  std::uint64_t mNoRoom = 0;
  /** Requests refused with 408. */
  std::uint64_t mTooSlow = 0;
  /** Connections closed to make room for others. */
  std::uint64_t mEvicted = 0;
  /** Connections closed because there were too many. */
  std::uint64_t mTooMany = 0;
  /** Connections closed because an answer was not read. */
  std::uint64_t mUnread = 0;

  bool operator==(const HttpServerCounts&) const = default;
};

/** Serves HTTP/1.1 on the thread that runs an I/O context. */
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePtr)>;
  using ClosedHandler = std::function<void(std::uint64_t)>;

  HttpServer(asio::io_context& aContext, const HttpServerSettings& aSettings,
             Handler aHandler, ClosedHandler aClosedHandler = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Starts listening. Returns false if the address cannot be used; LastError()
   * has the reason. */
  bool Start();

  /** Stops listening and closes all connections. */
  void Stop();

  /** Number of answers that are not completely written yet. */
  [[nodiscard]] std::size_t Unsent() const;

  /** Changes the limits on the body and on the time for the head of a
   * request. */
  void SetRequestLimits(std::size_t aMaxBody, Duration aHeadTimeout);

  [[nodiscard]] const HttpServerCounts& Counts() const;
  /** Number of bytes held for the callers of all servers with this account. */
  [[nodiscard]] std::size_t HeldBytes() const;
  [[nodiscard]] std::size_t Connections() const;

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
  std::string mLastError;
};

}  // namespace papayawheel
