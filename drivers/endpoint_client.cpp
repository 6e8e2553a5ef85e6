#include "drivers/endpoint_client.h"

#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/config/address.h"
#include "drivers/answer_parser.h"
#include "drivers/header_text.h"
#include "drivers/log.h"
#include "drivers/peer_watch.h"
#include "drivers/send_state.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kReadSize = 8192;
constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;

/** Idle connections that are kept open for one endpoint. */
constexpr std::size_t kMaxIdlePerEndpoint = 16;

/** Keep-alive time assumed for an endpoint that states none. It is kept below
 * the unknown time after which such an endpoint closes idle connections. */
constexpr seconds kDefaultKeepAlive{5};

/** Fraction of the endpoint's keep-alive time for which an idle connection is
 * reused. */
constexpr double kKeepAliveFraction = 0.6;

/** A connection is closed if sent bytes stay unacknowledged for this long. */
constexpr unsigned kTcpUserTimeoutMs = 1500;

/** A request with a longer body may fill the endpoint's window. The system's
 * timeout would end it although the endpoint is alive, so PeerWatch takes its
 * place. */
constexpr std::size_t kMaxShortBody = 32U << 10U;

/** Late answers to earlier requests that are skipped while one is awaited; an
 * endpoint that sends more is considered faulty. */
constexpr std::size_t kMaxLateAnswers = 4;

/** Requests without success after which a connection is not reused. */
constexpr std::size_t kMaxUnsuccessful = 32;

/** How long a reset is awaited after the endpoint ended its answer by ending
 * its side of the connection, if it has not read the whole request. An endpoint
 * that has closed the connection resets it when more of the request arrives. */
constexpr milliseconds kMaxResetWait{250};

struct Connection {
  Connection(asio::io_context& aContext, const AnswerLimits& aLimits)
      : mSocket(aContext), mTimer(aContext), mParser(aLimits) {}

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  AnswerParser mParser;
  std::array<char, kReadSize> mBuffer{};
  std::string mEndpoint;
  std::string mAddress;
  bool mConnected = false;
  /** The request in progress; 0 while the connection is idle. */
  EndpointClient::Id mRequest = 0;
  bool mWriting = false;
  /** Whether the connection broke before the request was written. */
  bool mWriteFailed = false;
  bool mReading = false;
  /** Whether the answer ended with the endpoint's side of the connection while
   * the request was still being written. */
  bool mAwaitsReset = false;
  /** Bytes of its unfinished answer that are included in the total. */
  std::size_t mBufferedBytes = 0;
  std::size_t mLateAnswers = 0;
  /** Requests that were sent on it. */
  std::size_t mRequests = 0;
  /** Echo values of requests that were not answered with success. Such a
   * request may be sent again, but not on this connection: a second copy of the
   * first answer could not be told from the answer to the second request. */
  std::vector<std::string> mUnsuccessful;
  /** Used for requests with a long body. */
  PeerWatch mPeerWatch;
  bool mHasUserTimeout = false;
  SteadyTime mIdleSince;
  std::chrono::milliseconds mMaxIdle{0};
  /** Head and body of the request that is being written. */
  std::string mOutgoingHead;
  std::shared_ptr<const std::string> mOutgoingBody;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** Sets or removes the system's timeout. The connection works without it. */
void SetUserTimeout(Connection& aConnection, bool aIsSet) {
  if (aConnection.mHasUserTimeout == aIsSet) {
    return;
  }
  aConnection.mHasUserTimeout = aIsSet;
  const unsigned timeout = aIsSet ? kTcpUserTimeoutMs : 0;
  setsockopt(aConnection.mSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &timeout, sizeof timeout);
}

std::string RenderHead(const EndpointRequest& aRequest) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\n", aRequest.mMethod, aRequest.mTarget);
  for (const auto& [name, value] : aRequest.mHeaders) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  const std::size_t size =
      aRequest.mBody == nullptr ? 0 : aRequest.mBody->size();
  const bool hasBody =
      size > 0 || (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD");
  if (hasBody) {
    text += fmt::format("Content-Length: {}\r\n", size);
  }
  text += "\r\n";
  return text;
}

}  // namespace

class EndpointClient::Impl
    : public std::enable_shared_from_this<EndpointClient::Impl> {
 public:
  Impl(asio::io_context& aContext, const AnswerLimits& aLimits)
      : mContext(aContext), mLimits(aLimits) {}

  Id Send(EndpointRequest aRequest, Callback aCallback) {
    const Id id = ++mLastId;
    ConnectionPtr connection = TakeIdle(aRequest);
    Pending& pending = mPending[id];
    pending.mCallback = std::move(aCallback);
    pending.mRequest = std::move(aRequest);
    if (connection != nullptr) {
      ++mCounts.mReused;
      pending.mConnection = connection;
      connection->mRequest = id;
      Write(connection);
    } else {
      Connect(id, pending);
    }
    return id;
  }

  void Cancel(Id aId) {
    const auto found = mPending.find(aId);
    if (found == mPending.end()) {
      return;
    }
    const ConnectionPtr connection = found->second.mConnection;
    SetBufferedBytes(connection, 0);
    mPending.erase(found);
    Close(connection);
  }

  void CloseIdle(const std::string& aEndpoint) {
    const auto found = mIdle.find(aEndpoint);
    if (found == mIdle.end()) {
      return;
    }
    const auto connections = std::move(found->second);
    mIdle.erase(found);
    for (const ConnectionPtr& connection : connections) {
      Close(connection);
    }
  }

  [[nodiscard]] const EndpointClientCounts& Counts() const { return mCounts; }

 private:
  struct Pending {
    EndpointRequest mRequest;
    Callback mCallback;
    ConnectionPtr mConnection;
  };

  ConnectionPtr TakeIdle(const EndpointRequest& aRequest) {
    const auto found = mIdle.find(aRequest.mEndpoint);
    if (found == mIdle.end()) {
      return nullptr;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    std::deque<ConnectionPtr>& idle = found->second;
    // The most recently used connection is the least likely to be closed soon
    // by the endpoint.
    while (!idle.empty()) {
      ConnectionPtr connection = idle.back();
      const auto maxIdle = std::min(connection->mMaxIdle, aRequest.mMaxIdle);
      const auto& unsuccessful = connection->mUnsuccessful;
      const bool isRepeated =
          std::find(unsuccessful.begin(), unsuccessful.end(),
                    aRequest.mEchoValue) != unsuccessful.end();
      const bool usable = connection->mAddress == aRequest.mAddress &&
                          now - connection->mIdleSince < maxIdle && !isRepeated;
      if (usable) {
        idle.pop_back();
        return connection;
      }
      if (now - connection->mIdleSince < connection->mMaxIdle) {
        // Not usable for this request, but kept for those that may be retried,
        // which accept a longer idle time.
        return nullptr;
      }
      idle.pop_back();
      Close(connection);
    }
    return nullptr;
  }

  void Connect(Id aId, Pending& aPending) {
    const auto connection = std::make_shared<Connection>(mContext, mLimits);
    aPending.mConnection = connection;
    connection->mRequest = aId;
    connection->mEndpoint = aPending.mRequest.mEndpoint;
    connection->mAddress = aPending.mRequest.mAddress;
    const auto address = ParseAddress(connection->mAddress);
    asio::error_code error;
    const auto ip = asio::ip::make_address_v4(
        address ? address->mIp : std::string(), error);
    if (!address || error) {
      FailLater(aId, "the address is malformed");
      return;
    }
    ++mCounts.mOpened;
    connection->mTimer.expires_after(aPending.mRequest.mConnectTimeout);
    connection->mTimer.async_wait(
        [self = shared_from_this(), connection, aId](asio::error_code aError) {
          if (!aError) {
            // If this process was delayed, the connection may have been made in
            // the meantime. That event is queued already, so it is handled
            // before the one posted here.
            asio::post(self->mContext, [self, connection, aId] {
              self->HandleConnectTimeout(connection, aId);
            });
          }
        });
    connection->mSocket.async_connect(
        asio::ip::tcp::endpoint(ip, address->mPort),
        [self = shared_from_this(), connection, aId](asio::error_code aError) {
          self->HandleConnected(connection, aId, aError);
        });
  }

  void HandleConnectTimeout(const ConnectionPtr& aConnection, Id aId) {
    // Once connected, the request may have been written.
    if (!aConnection->mConnected && aConnection->mRequest == aId) {
      Finish(aId, EndpointOutcome::NotConnected, nullptr, "connect timed out");
    }
  }

  void FailLater(Id aId, const std::string& aReason) {
    asio::post(mContext, [self = shared_from_this(), aId, aReason] {
      self->Finish(aId, EndpointOutcome::NotConnected, nullptr, aReason);
    });
  }

  void HandleConnected(const ConnectionPtr& aConnection, Id aId,
                       asio::error_code aError) {
    if (aConnection->mRequest != aId || !mPending.contains(aId)) {
      return;
    }
    aConnection->mTimer.cancel();
    if (aError) {
      FinishWith(aId,
                 EndpointAnswer{EndpointOutcome::NotConnected, nullptr,
                                aError.message(),
                                aError == asio::error::connection_refused});
      return;
    }
    aConnection->mConnected = true;
    asio::error_code ignored;
    aConnection->mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    Write(aConnection);
  }

  void Write(const ConnectionPtr& aConnection) {
    EndpointRequest& request = mPending.at(aConnection->mRequest).mRequest;
    aConnection->mParser.StartAnswer(request.mMethod == "HEAD");
    aConnection->mLateAnswers = 0;
    ++aConnection->mRequests;
    aConnection->mOutgoingHead = RenderHead(request);
    aConnection->mOutgoingBody = std::move(request.mBody);
    const std::array<asio::const_buffer, 2> outgoing = {
        asio::buffer(aConnection->mOutgoingHead),
        aConnection->mOutgoingBody == nullptr
            ? asio::const_buffer()
            : asio::buffer(*aConnection->mOutgoingBody)};
    mCounts.mBytesWritten += asio::buffer_size(outgoing);
    aConnection->mWriting = true;
    asio::async_write(aConnection->mSocket, outgoing,
                      [self = shared_from_this(), aConnection](
                          asio::error_code aError, std::size_t /*aSize*/) {
                        self->HandleWritten(aConnection, aError);
                      });
    WatchPeer(aConnection);
    Read(aConnection);
  }

  void HandleWritten(const ConnectionPtr& aConnection,
                     asio::error_code aError) {
    aConnection->mWriting = false;
    aConnection->mOutgoingBody = nullptr;
    aConnection->mWriteFailed = static_cast<bool>(aError);
    if (aConnection->mRequest == 0) {
      return;
    }
    if (aConnection->mAwaitsReset) {
      HandleEnd(aConnection, aError);
    } else if (aError) {
      // The answer may have arrived before the connection broke; the read shows
      // that.
      Read(aConnection);
    }
  }

  /** Lets an unreachable endpoint be noticed while the request is sent. */
  void WatchPeer(const ConnectionPtr& aConnection) {
    const bool isShort = aConnection->mOutgoingBody == nullptr ||
                         aConnection->mOutgoingBody->size() <= kMaxShortBody;
    SetUserTimeout(*aConnection, isShort);
    if (!isShort) {
      aConnection->mPeerWatch = PeerWatch();
      AwaitPeerCheck(aConnection);
    }
  }

  void AwaitPeerCheck(const ConnectionPtr& aConnection) {
    aConnection->mTimer.expires_after(PeerWatch::kInterval);
    aConnection->mTimer.async_wait(
        [self = shared_from_this(), aConnection,
         id = aConnection->mRequest](asio::error_code aError) {
          if (!aError && aConnection->mRequest == id) {
            self->CheckPeer(aConnection);
          }
        });
  }

  /** Ends the request if the endpoint has become unreachable. */
  void CheckPeer(const ConnectionPtr& aConnection) {
    if (aConnection->mAwaitsReset) {
      return;
    }
    const auto state = ReadSendState(aConnection->mSocket.native_handle());
    if (!state) {
      NoteNoSendState();
      SetUserTimeout(*aConnection, true);
      return;
    }
    if (!aConnection->mWriting && state->mUnacknowledged == 0) {
      return;
    }
    if (aConnection->mPeerWatch.Check(*state)) {
      Fail(aConnection, "the endpoint acknowledges nothing");
      return;
    }
    AwaitPeerCheck(aConnection);
  }

  /** Logs once that only the system's timeout notices unreachable endpoints. */
  void NoteNoSendState() {
    if (!std::exchange(mHasNotedNoSendState, true)) {
      Log(LogLevel::Warning, "send_state_unknown");
    }
  }

  void Read(const ConnectionPtr& aConnection) {
    if (aConnection->mReading || !aConnection->mSocket.is_open()) {
      return;
    }
    aConnection->mReading = true;
    aConnection->mSocket.async_read_some(
        asio::buffer(aConnection->mBuffer),
        [self = shared_from_this(), aConnection](asio::error_code aError,
                                                 std::size_t aSize) {
          aConnection->mReading = false;
          self->HandleRead(aConnection, aError, aSize);
        });
  }

  void HandleRead(const ConnectionPtr& aConnection, asio::error_code aError,
                  std::size_t aSize) {
    if (aConnection->mRequest == 0) {
      // No data is expected on an idle connection: it was closed, or the
      // endpoint sent bytes that belong to no request.
      if (aError != asio::error::operation_aborted) {
        DropIdle(aConnection);
      }
      return;
    }
    mCounts.mBytesRead += aSize;
    if (aError) {
      HandleReadError(aConnection, aError);
      return;
    }
    Feed(aConnection, aSize);
  }

  void HandleReadError(const ConnectionPtr& aConnection,
                       asio::error_code aError) {
    // The system reports a reset once. If the write got it, the next read
    // returns an end of file, as at an orderly end.
    if (aError == asio::error::eof && !aConnection->mWriteFailed &&
        aConnection->mParser.HasBegun() &&
        aConnection->mParser.FeedEnd() == AnswerParser::Result::Complete) {
      if (aConnection->mWriting) {
        AwaitReset(aConnection);
      } else {
        HandleAnswer(aConnection, 0, 0);
      }
      return;
    }
    Fail(aConnection, aError.message());
  }

  /** Waits until the rest of the request is written or cannot be. The answer is
   * complete unless the connection is reset. */
  void AwaitReset(const ConnectionPtr& aConnection) {
    aConnection->mAwaitsReset = true;
    aConnection->mTimer.expires_after(kMaxResetWait);
    aConnection->mTimer.async_wait(
        [self = shared_from_this(), aConnection](asio::error_code aError) {
          if (!aError && aConnection->mRequest != 0) {
            self->HandleEnd(aConnection, {});
          }
        });
  }

  /** Handles an answer that ended with the connection. */
  void HandleEnd(const ConnectionPtr& aConnection, asio::error_code aError) {
    if (aError) {
      Fail(aConnection, aError.message());
    } else {
      HandleAnswer(aConnection, 0, 0);
    }
  }

  /** Ends a request whose connection broke before the end of the answer. */
  void Fail(const ConnectionPtr& aConnection, const std::string& aReason) {
    const auto outcome = aConnection->mParser.HasBegun()
                             ? EndpointOutcome::Garbled
                             : EndpointOutcome::Lost;
    Finish(aConnection->mRequest, outcome, nullptr, aReason);
  }

  void Feed(const ConnectionPtr& aConnection, std::size_t aSize) {
    std::size_t start = 0;
    while (true) {
      std::size_t used = 0;
      const auto result = aConnection->mParser.Feed(
          aConnection->mBuffer.data() + start, aSize - start, used);
      start += used;
      if (result == AnswerParser::Result::Malformed) {
        Finish(aConnection->mRequest, EndpointOutcome::Garbled, nullptr,
               "malformed answer, or one above the size limits");
        return;
      }
      if (result == AnswerParser::Result::Incomplete) {
        SetBufferedBytes(aConnection, aConnection->mParser.BufferedBytes());
        if (mBufferedBytes > mLimits.mMaxUnfinished) {
          Finish(aConnection->mRequest, EndpointOutcome::Garbled, nullptr,
                 "unfinished answers exceed the memory limit");
          return;
        }
        Read(aConnection);
        return;
      }
      if (!HandleAnswer(aConnection, start, aSize)) {
        return;
      }
      if (start >= aSize) {
        Read(aConnection);
        return;
      }
    }
  }

  /** Sets the bytes that a connection buffers of an unfinished answer, and
   * updates the total. */
  void SetBufferedBytes(const ConnectionPtr& aConnection, std::size_t aBytes) {
    mBufferedBytes += aBytes;
    mBufferedBytes -= aConnection->mBufferedBytes;
    aConnection->mBufferedBytes = aBytes;
  }

  /** Handles a whole answer. Returns true if it belongs to an earlier request
   * and was skipped; false if the current request has ended. */
  bool HandleAnswer(const ConnectionPtr& aConnection, std::size_t aUsed,
                    std::size_t aSize) {
    const Id id = aConnection->mRequest;
    const EndpointRequest& request = mPending.at(id).mRequest;
    const auto response = aConnection->mParser.Take();
    const auto echo = FindHeader(response->mHeaders, request.mEchoName);
    const bool keeps = aConnection->mParser.KeepsConnection();
    if (echo.value_or(request.mEchoValue) != request.mEchoValue) {
      ++mCounts.mDroppedAnswers;
      ++aConnection->mLateAnswers;
      if (!keeps || aConnection->mLateAnswers > kMaxLateAnswers) {
        Finish(id, EndpointOutcome::Garbled, nullptr,
               "the answer belongs to another request");
        return false;
      }
      aConnection->mParser.StartAnswer(request.mMethod == "HEAD");
      return true;
    }
    const bool succeeded =
        response->mStatus >= kFirstSuccess && response->mStatus <= kLastSuccess;
    // On a connection in use again, any answer without the id may be a second
    // copy of an earlier one.
    const bool needsEcho = succeeded || aConnection->mRequests > 1;
    if (!echo && needsEcho && !request.mEchoValue.empty()) {
      Finish(id, EndpointOutcome::Garbled, nullptr,
             "the answer does not echo the request id");
      return false;
    }
    // If the request is still being written, the endpoint would take the rest
    // of it for the next request.
    const bool reusable = keeps && aUsed == aSize && !aConnection->mWriting &&
                          aConnection->mUnsuccessful.size() < kMaxUnsuccessful;
    if (!succeeded && !request.mEchoValue.empty()) {
      aConnection->mUnsuccessful.push_back(request.mEchoValue);
    }
    if (reusable) {
      aConnection->mMaxIdle = MaxIdle(response->mHeaders);
    }
    Finish(id, EndpointOutcome::Answered, response, "", reusable);
    return false;
  }

  static milliseconds MaxIdle(const HeaderList& aHeaders) {
    const auto keepAlive = FindHeader(aHeaders, "Keep-Alive");
    const auto stated =
        keepAlive ? ParseKeepAliveTimeout(*keepAlive) : std::nullopt;
    const seconds timeout = stated.value_or(kDefaultKeepAlive);
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(milliseconds(timeout).count()) *
        kKeepAliveFraction));
  }

  void Finish(Id aId, EndpointOutcome aOutcome,
              std::shared_ptr<Response> aResponse, std::string aReason,
              bool aReusable = false) {
    FinishWith(
        aId, EndpointAnswer{aOutcome, std::move(aResponse), std::move(aReason)},
        aReusable);
  }

  void FinishWith(Id aId, EndpointAnswer aAnswer, bool aReusable = false) {
    const auto found = mPending.find(aId);
    if (found == mPending.end()) {
      return;
    }
    const ConnectionPtr connection = found->second.mConnection;
    SetBufferedBytes(connection, 0);
    const Callback callback = std::move(found->second.mCallback);
    mPending.erase(found);
    if (aReusable) {
      AddIdle(connection);
    } else {
      Close(connection);
    }
    callback(std::move(aAnswer));
  }

  void AddIdle(const ConnectionPtr& aConnection) {
    aConnection->mRequest = 0;
    aConnection->mIdleSince = std::chrono::steady_clock::now();
    std::deque<ConnectionPtr>& idle = mIdle[aConnection->mEndpoint];
    idle.push_back(aConnection);
    if (idle.size() > kMaxIdlePerEndpoint) {
      const ConnectionPtr oldest = idle.front();
      idle.pop_front();
      Close(oldest);
    }
    // Reads, so that a close by the endpoint is noticed at once.
    Read(aConnection);
  }

  void DropIdle(const ConnectionPtr& aConnection) {
    const auto found = mIdle.find(aConnection->mEndpoint);
    if (found != mIdle.end()) {
      std::erase(found->second, aConnection);
      if (found->second.empty()) {
        mIdle.erase(found);
      }
    }
    Close(aConnection);
  }

  static void Close(const ConnectionPtr& aConnection) {
    if (aConnection == nullptr) {
      return;
    }
    aConnection->mRequest = 0;
    aConnection->mTimer.cancel();
    if (aConnection->mConnected) {
      // The system drops bytes that stay unacknowledged after the close.
      SetUserTimeout(*aConnection, true);
    }
    asio::error_code ignored;
    aConnection->mSocket.close(ignored);
  }

  asio::io_context& mContext;
  AnswerLimits mLimits;
  /** Bytes of the unfinished answers of all connections. */
  std::size_t mBufferedBytes = 0;
  Id mLastId = 0;
  std::unordered_map<Id, Pending> mPending;
  /** Idle connections by endpoint, the most recently used at the back. */
  std::unordered_map<std::string, std::deque<ConnectionPtr>> mIdle;
  EndpointClientCounts mCounts;
  bool mHasNotedNoSendState = false;
};

EndpointClient::EndpointClient(asio::io_context& aContext,
                               const AnswerLimits& aLimits)
    : mImpl(std::make_shared<Impl>(aContext, aLimits)) {}

EndpointClient::~EndpointClient() = default;

EndpointClient::Id EndpointClient::Send(EndpointRequest aRequest,
                                        Callback aCallback) {
  return mImpl->Send(std::move(aRequest), std::move(aCallback));
}

void EndpointClient::Cancel(Id aId) { mImpl->Cancel(aId); }

void EndpointClient::CloseIdle(const std::string& aEndpoint) {
  mImpl->CloseIdle(aEndpoint);
}

const EndpointClientCounts& EndpointClient::Counts() const {
  return mImpl->Counts();
}

}  // namespace papayawheel
