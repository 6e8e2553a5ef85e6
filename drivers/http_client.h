#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/outcome/response.h"

namespace papayawheel {

/** A request to send. */
struct HttpCall {
  std::string mMethod = "GET";
  /** IP number and port. */
  std::string mAddress;
  /** Path and query. */
  std::string mTarget = "/";
  HeaderList mHeaders;
  std::string mBody;
  std::chrono::milliseconds mTimeout{1000};
  /** Larger answers count as cut. */
  std::size_t mMaxAnswer = 16U << 20U;
  /** End the request soon when the other side can no longer be reached, even
   * while nothing is being sent. */
  bool mTcpKeepAlive = false;
  /** Let the other side compress its answer; mMaxAnswer counts the body as it
   * is handed over. */
  bool mAcceptsCompressed = false;
};

/** How a request ended. */
enum class HttpResultKind {
  /** The whole answer arrived. */
  Answered,
  /** The connection was refused; nothing was sent. */
  Refused,
  /** No connection was made; nothing was sent. */
  NotConnected,
  /** The connection broke after the request was sent. */
  Lost,
  /** The answer broke off, or its end cannot be told from a broken
   * connection. */
  Cut,
  /** The time ran out after the request was sent. */
  TimedOut,
};

struct HttpResult {
  HttpResultKind mKind = HttpResultKind::Lost;
  int mStatus = 0;
  /** By name in lower case; the last one where a name stands twice. */
  std::map<std::string, std::string> mHeaders;
  /** All headers as they came. */
  HeaderList mAllHeaders;
  std::string mBody;
  /** Bytes sent and received, with headers. */
  std::size_t mBytes = 0;

  /** The value of a header, empty if it is absent. */
  [[nodiscard]] std::string Header(const std::string& aName) const;
};

/** Sends HTTP/1.1 requests over kept connections, on the thread that runs an
 * I/O context. A request is written to a connection once at most: nothing is
 * sent again without the caller's knowledge. */
class HttpClient {
 public:
  using Id = std::uint64_t;
  using Callback = std::function<void(HttpResult)>;

  explicit HttpClient(asio::io_context& aContext);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a request; the callback runs later, once. */
  Id Send(const HttpCall& aCall, Callback aCallback);

  /** Ends a request and closes its connection; its callback does not run. */
  void Cancel(Id aId);

 private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace papayawheel
