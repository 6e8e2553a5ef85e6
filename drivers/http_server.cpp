#include "drivers/http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <exception>
#include <utility>
#include <vector>

#include "drivers/http_connection.h"
#include "drivers/log.h"

namespace papayawheel {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds kCheckInterval{500};
constexpr std::chrono::seconds kMaxCheckGap{2};
/** Pause after a failed accept, as when the process has no descriptor left. */
constexpr std::chrono::milliseconds kAcceptPause{100};
constexpr std::chrono::seconds kLogInterval{10};
/** A request that began this long ago may be closed for a new connection. */
constexpr std::chrono::seconds kMinAge{1};

}  // namespace

std::shared_ptr<HttpMemory> MakeHttpMemory(const ByteBounds& aBounds) {
  return std::make_shared<HttpMemory>(aBounds);
}

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& aContext, const HttpServerSettings& aSettings,
       Handler aHandler, ClosedHandler aClosedHandler)
      : mAcceptor(aContext), mAcceptTimer(aContext), mCheckTimer(aContext) {
    mState->mSettings = aSettings;
    mState->mHandler = std::move(aHandler);
    mState->mClosedHandler = std::move(aClosedHandler);
    mState->mMemory =
        aSettings.mMemory ? aSettings.mMemory : MakeHttpMemory(ByteBounds{});
  }

  void Start() {
    using ReusePort =
        asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    const HttpServerSettings& settings = mState->mSettings;
    const tcp::endpoint address(asio::ip::make_address(settings.mIp),
                                settings.mPort);
    mAcceptor.open(address.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    if (settings.mSharePort) {
      mAcceptor.set_option(ReusePort(true));
    }
    mAcceptor.bind(address);
    mAcceptor.listen(asio::socket_base::max_listen_connections);
    Accept();
    ScheduleCheck();
  }

  void Stop() {
    asio::error_code ignored;
    mAcceptor.close(ignored);
    mAcceptTimer.cancel();
    mCheckTimer.cancel();
    for (const auto& connection : Connections()) {
      connection->Close();
    }
  }

  std::shared_ptr<HttpServerState> mState = std::make_shared<HttpServerState>();

 private:
  [[nodiscard]] std::vector<std::shared_ptr<HttpConnection>> Connections()
      const {
    std::vector<std::shared_ptr<HttpConnection>> connections;
    connections.reserve(mState->mConnections.size());
    for (const auto& [id, connection] : mState->mConnections) {
      connections.push_back(connection);
    }
    return connections;
  }

  void Accept() {
    mAcceptor.async_accept(
        [self = shared_from_this()](const asio::error_code& aError,
                                    tcp::socket aSocket) {
          if (!self->mAcceptor.is_open()) {
            return;
          }
          if (aError) {
            self->AcceptLater();
            return;
          }
          self->Open(std::move(aSocket));
          self->Accept();
        });
  }

  void AcceptLater() {
    mAcceptTimer.expires_after(kAcceptPause);
    mAcceptTimer.async_wait(
        [self = shared_from_this()](const asio::error_code& aError) {
          if (!aError) {
            self->Accept();
          }
        });
  }

  void Open(tcp::socket aSocket) {
    const std::size_t most = mState->mSettings.mMaxConnections;
    if (most > 0 && mState->mConnections.size() >= most) {
      ++mState->mCounts.mTooMany;
      if (!CloseOneIdle()) {
        return;
      }
    }
    asio::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    const auto connection =
        std::make_shared<HttpConnection>(mState, std::move(aSocket), ++mLastId);
    mState->mConnections.emplace(connection->Id(), connection);
    connection->Start();
  }

  /** Closes the connection without a complete request that was active the
   * longest ago, idle ones first. Returns false if there is none. */
  bool CloseOneIdle() {
    const TimePoint now = mState->mClock.Now();
    std::shared_ptr<HttpConnection> found;
    for (const auto& [id, connection] : mState->mConnections) {
      const bool isCandidate =
          connection->IsIdle() || (!connection->HasCompleteRequest() &&
                                   now - connection->RequestBegan() > kMinAge);
      if (!isCandidate) {
        continue;
      }
      const auto rank = [](const HttpConnection& aConnection) {
        return std::pair(!aConnection.IsIdle(), aConnection.LastActive());
      };
      if (found == nullptr || rank(*connection) < rank(*found)) {
        found = connection;
      }
    }
    if (found == nullptr) {
      return false;
    }
    found->Close();
    return true;
  }

  void ScheduleCheck() {
    mCheckTimer.expires_after(kCheckInterval);
    mCheckTimer.async_wait(
        [self = shared_from_this()](const asio::error_code& aError) {
          if (!aError) {
            self->Check();
            self->ScheduleCheck();
          }
        });
  }

  void Check() {
    const TimePoint now = mState->mClock.Now();
    // After a suspension, what the peers sent meanwhile is read first.
    const bool isLate = now - mCheckedAt > kMaxCheckGap;
    mCheckedAt = now;
    if (!isLate) {
      for (const auto& connection : Connections()) {
        connection->CheckTimeouts(now);
      }
    }
    const HttpServerCounts& counts = mState->mCounts;
    if (counts == mLogged || now - mLoggedAt < kLogInterval) {
      return;
    }
    mLogged = counts;
    mLoggedAt = now;
    Log(LogLevel::Warning, "callers_limited",
        {{"port", mState->mSettings.mPort},
         {"too_large", counts.mTooLarge},
         {"no_room", counts.mNoRoom},
         {"too_slow", counts.mTooSlow},
         {"evicted", counts.mEvicted},
         {"too_many", counts.mTooMany},
         {"unread", counts.mUnread},
         {"held_bytes", mState->mMemory->mAccount.Held()}});
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptTimer;
  asio::steady_timer mCheckTimer;
  std::uint64_t mLastId = 0;
  HttpServerCounts mLogged;
  TimePoint mLoggedAt{};
  TimePoint mCheckedAt{};
};

HttpServer::HttpServer(asio::io_context& aContext,
                       const HttpServerSettings& aSettings, Handler aHandler,
                       ClosedHandler aClosedHandler)
    : mImpl(std::make_shared<Impl>(aContext, aSettings, std::move(aHandler),
                                   std::move(aClosedHandler))) {}

HttpServer::~HttpServer() {
  // The owner may be destroyed in part already.
  mImpl->mState->mHandler = {};
  mImpl->mState->mClosedHandler = {};
  mImpl->Stop();
}

bool HttpServer::Start() {
  try {
    mImpl->Start();
    return true;
  } catch (const std::exception& error) {
    mLastError = error.what();
    return false;
  }
}

void HttpServer::Stop() { mImpl->Stop(); }

std::size_t HttpServer::Unsent() const { return mImpl->mState->mUnsent; }

void HttpServer::SetRequestLimits(std::size_t aMaxBody, Duration aHeadTimeout) {
  HttpServerSettings& settings = mImpl->mState->mSettings;
  settings.mMaxBody = aMaxBody;
  settings.mHeadTimeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(aHeadTimeout);
}

const HttpServerCounts& HttpServer::Counts() const {
  return mImpl->mState->mCounts;
}

std::size_t HttpServer::HeldBytes() const {
  return mImpl->mState->mMemory->mAccount.Held();
}

std::size_t HttpServer::Connections() const {
  return mImpl->mState->mConnections.size();
}

}  // namespace papayawheel
