#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/outcome/response.h"
#include "drivers/answer_limits.h"

namespace papayawheel {

/** A request to an endpoint. */
struct EndpointRequest {
  /** Id of the endpoint; idle connections are pooled for each id. */
  std::string mEndpoint;
  /** IP address and port. */
  std::string mAddress;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HeaderList mHeaders;
  /** Null if there is none. It is shared with other attempts of the same
   * request and not copied. */
  std::shared_ptr<const std::string> mBody;
  /** A header that the endpoint echoes, and its value; the value is empty if no
   * echo is expected. An answer with another value belongs to an earlier
   * request and is dropped. */
  std::string mEchoName;
  std::string mEchoValue;
  /** Only a connection that was idle for less than this is reused. */
  std::chrono::milliseconds mMaxIdle{0};
  std::chrono::milliseconds mConnectTimeout{250};
};

/** How a request to an endpoint ended. */
enum class EndpointOutcome {
  /** The whole answer arrived. */
  Answered,
  /** No connection was made; nothing was sent. */
  NotConnected,
  /** The connection broke before any byte of the answer. */
  Lost,
  /** The bytes that arrived are malformed or not a whole answer. */
  Garbled,
};

struct EndpointAnswer {
  EndpointOutcome mOutcome = EndpointOutcome::Lost;
  /** Set if the endpoint answered; it has all headers in the order received. */
  std::shared_ptr<Response> mResponse;
  /** The cause of a failure, for logs. */
  std::string mReason;
  /** Whether the connection was refused, as no program listens at the
   * address. */
  bool mRefused = false;
};

/** Counts since the creation of an endpoint client. */
struct EndpointClientCounts {
  std::uint64_t mOpened = 0;
  std::uint64_t mReused = 0;
  std::uint64_t mDroppedAnswers = 0;
  std::uint64_t mBytesRead = 0;
  std::uint64_t mBytesWritten = 0;
};

/** Sends HTTP/1.1 requests to endpoints over pooled connections, on the thread
 * that runs an I/O context. Each request is written at most once. libcurl is
 * not suitable here: it retries a request when a reused connection breaks, and
 * it cannot skip a late answer to an earlier request. */
class EndpointClient {
 public:
  using Id = std::uint64_t;
  using Callback = std::function<void(EndpointAnswer)>;

  explicit EndpointClient(asio::io_context& aContext,
                          const AnswerLimits& aLimits = {});
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  /** Starts a request; the callback runs later, once. */
  Id Send(EndpointRequest aRequest, Callback aCallback);

  /** Cancels a request and closes its connection; its callback does not run. */
  void Cancel(Id aId);

  /** Closes the idle connections to an endpoint. */
  void CloseIdle(const std::string& aEndpoint);

  [[nodiscard]] const EndpointClientCounts& Counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace papayawheel
