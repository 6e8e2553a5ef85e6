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
  /** IP address and port. */
  std::string mAddress;
  /** Path and query. */
  std::string mTarget = "/";
  HeaderList mHeaders;
  std::string mBody;
  std::chrono::milliseconds mTimeout{1000};
  /** An answer with a larger body, in bytes, counts as Cut. So does one with a
   * head of over 64 KiB, and one that arrives while the unfinished answers of
   * the client take over 32 MiB. */
  std::size_t mMaxAnswer = 16U << 20U;
  /** Sends TCP keep-alive probes, so that a request ends soon when the peer
   * becomes unreachable, even while nothing is being sent. */
  bool mTcpKeepAlive = false;
  /** Allows the peer to compress its answer; mMaxAnswer limits the decompressed
   * body. */
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
  /** The answer was truncated, or its end cannot be distinguished from a broken
   * connection. */
  Cut,
  /** The time ran out after the request was sent. */
  TimedOut,
};

struct HttpResult {
  HttpResultKind mKind = HttpResultKind::Lost;
  /** 0 unless the whole answer arrived. */
  int mStatus = 0;
  /** By lower-case name; the last value of a header that is repeated. */
  std::map<std::string, std::string> mHeaders;
  /** All headers in the order received. */
  HeaderList mAllHeaders;
  std::string mBody;
  /** Bytes sent and received, with headers. */
  std::size_t mBytes = 0;

  /** The value of a header, empty if it is absent. */
  [[nodiscard]] std::string Header(const std::string& aName) const;
};

/** Sends HTTP/1.1 requests over persistent connections, on the thread that runs
 * an I/O context. A request is written at most once: nothing is retried without
 * the caller's knowledge. */
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

  /** Cancels a request and closes its connection; its callback does not run. */
  void Cancel(Id aId);

 private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace papayawheel
