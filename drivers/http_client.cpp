#include "drivers/http_client.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>

#include "drivers/http_transfer.h"

namespace papayawheel {
namespace {

constexpr long kMaxIdleConnections = 4096;

/** Idle connections older than this are not reused, because the peer may be
 * about to close them. */
constexpr long kMaxIdleSeconds = 20;
constexpr std::chrono::milliseconds kConnectTimeout{500};

/** Interval of TCP keep-alive probes on a connection that waits for an
 * answer. */
constexpr long kKeepAliveProbeSeconds = 1;

/** A connection is closed if sent bytes stay unacknowledged for this long. */
constexpr unsigned kTcpUserTimeoutMs = 1000;

}  // namespace

std::string HttpResult::Header(const std::string& aName) const {
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string() : found->second;
}

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& aContext)
      : mContext(aContext), mTimer(aContext), mMulti(curl_multi_init()) {
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~Impl() {
    for (auto& [id, transfer] : mTransfers) {
      curl_multi_remove_handle(mMulti, transfer->mHandle);
      FreeHandle(*transfer);
    }
    curl_multi_cleanup(mMulti);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Id Send(const HttpCall& aCall, Callback aCallback) {
    auto transfer = std::make_unique<HttpTransfer>(mUnfinishedBytes);
    transfer->mId = ++mLastId;
    transfer->mBody = aCall.mBody;
    transfer->mCallback = std::move(aCallback);
    transfer->mMaxAnswer = aCall.mMaxAnswer;
    transfer->mIsHead = aCall.mMethod == "HEAD";
    // A new handle each time: libcurl 7.88 reads memory that it has freed if a
    // reused one gets an answer whose first field line begins with a blank.
    transfer->mHandle = curl_easy_init();
    Prepare(*transfer, aCall);
    const Id id = transfer->mId;
    CURL* const handle = transfer->mHandle;
    mTransfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(mMulti, handle);
    return id;
  }

  void Cancel(Id aId) {
    const auto found = mTransfers.find(aId);
    if (found == mTransfers.end()) {
      return;
    }
    const std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    mTransfers.erase(found);
    curl_multi_remove_handle(mMulti, transfer->mHandle);
    FreeHandle(*transfer);
  }

 private:
  using Socket = asio::ip::tcp::socket;

  /** A connection's socket and the events for which libcurl waits on it. */
  struct SocketWatch {
    explicit SocketWatch(asio::io_context& aContext) : mSocket(aContext) {}
    Socket mSocket;
    int mPollEvents = CURL_POLL_NONE;
    bool mReading = false;
    bool mWriting = false;
  };

  static void FreeHandle(const HttpTransfer& aTransfer) {
    curl_slist_free_all(aTransfer.mHeaders);
    curl_easy_cleanup(aTransfer.mHandle);
  }

  void Prepare(HttpTransfer& aTransfer, const HttpCall& aCall) {
    CURL* const handle = aTransfer.mHandle;
    const std::string url =
        fmt::format("http://{}{}", aCall.mAddress, aCall.mTarget);
    for (const auto& [name, value] : aCall.mHeaders) {
      const std::string line = fmt::format("{}: {}", name, value);
      aTransfer.mHeaders = curl_slist_append(aTransfer.mHeaders, line.c_str());
    }
    // Keeps libcurl from waiting for a "100 Continue".
    aTransfer.mHeaders = curl_slist_append(aTransfer.mHeaders, "Expect:");
    const auto timeout = std::max<std::int64_t>(1, aCall.mTimeout.count());
    const auto connectTimeout =
        std::min<std::int64_t>(timeout, kConnectTimeout.count());
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(connectTimeout));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, aTransfer.mHeaders);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION,
                     &HttpTransfer::OnBeforeWrite);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &aTransfer);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpen);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnClose);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    if (aCall.mAcceptsCompressed) {
      curl_easy_setopt(handle, CURLOPT_ACCEPT_ENCODING, "gzip");
    }
    if (aCall.mTcpKeepAlive) {
      curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
      curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, kKeepAliveProbeSeconds);
      curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, kKeepAliveProbeSeconds);
    }
    if (aTransfer.mIsHead) {
      curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (!aTransfer.mBody.empty() || aCall.mMethod != "GET") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(aTransfer.mBody.size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aTransfer.mBody.data());
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
    }
  }

  static curl_socket_t OnOpen(void* aSelf, curlsocktype /*aPurpose*/,
                              curl_sockaddr* aAddress) {
    auto& self = *static_cast<Impl*>(aSelf);
    if (aAddress->family != AF_INET) {
      return CURL_SOCKET_BAD;
    }
    auto watch = std::make_shared<SocketWatch>(self.mContext);
    asio::error_code error;
    watch->mSocket.open(asio::ip::tcp::v4(), error);
    if (error) {
      return CURL_SOCKET_BAD;
    }
    const curl_socket_t number = watch->mSocket.native_handle();
    setsockopt(number, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
               sizeof kTcpUserTimeoutMs);
    self.mWatches[number] = std::move(watch);
    return number;
  }

  static int OnClose(void* aSelf, curl_socket_t aDescriptor) {
    auto& self = *static_cast<Impl*>(aSelf);
    const auto found = self.mWatches.find(aDescriptor);
    if (found != self.mWatches.end()) {
      found->second->mPollEvents = CURL_POLL_NONE;
      asio::error_code ignored;
      found->second->mSocket.close(ignored);
      self.mWatches.erase(found);
    }
    return 0;
  }

  static int OnSocket(CURL* /*aHandle*/, curl_socket_t aDescriptor,
                      int aPollEvents, void* aSelf, void* /*aSocket*/) {
    auto& self = *static_cast<Impl*>(aSelf);
    const auto found = self.mWatches.find(aDescriptor);
    if (found == self.mWatches.end()) {
      return 0;
    }
    found->second->mPollEvents =
        aPollEvents == CURL_POLL_REMOVE ? CURL_POLL_NONE : aPollEvents;
    self.WaitFor(aDescriptor, found->second);
    return 0;
  }

  void WaitFor(curl_socket_t aDescriptor,
               const std::shared_ptr<SocketWatch>& aWatch) {
    if ((aWatch->mPollEvents & CURL_POLL_IN) != 0 && !aWatch->mReading) {
      aWatch->mReading = true;
      WaitOnce(aDescriptor, aWatch, Socket::wait_read, CURL_CSELECT_IN);
    }
    if ((aWatch->mPollEvents & CURL_POLL_OUT) != 0 && !aWatch->mWriting) {
      aWatch->mWriting = true;
      WaitOnce(aDescriptor, aWatch, Socket::wait_write, CURL_CSELECT_OUT);
    }
  }

  void WaitOnce(curl_socket_t aDescriptor,
                const std::shared_ptr<SocketWatch>& aWatch,
                Socket::wait_type aType, int aEvent) {
    aWatch->mSocket.async_wait(
        aType, [this, aDescriptor, aWatch, aEvent](asio::error_code aError) {
          const bool reading = aEvent == CURL_CSELECT_IN;
          (reading ? aWatch->mReading : aWatch->mWriting) = false;
          if (!aWatch->mSocket.is_open()) {
            return;
          }
          const int wanted = reading ? CURL_POLL_IN : CURL_POLL_OUT;
          if ((aWatch->mPollEvents & wanted) == 0) {
            return;
          }
          HandleEvents(aDescriptor, aError ? CURL_CSELECT_ERR : aEvent);
          const auto current = mWatches.find(aDescriptor);
          if (current != mWatches.end() && current->second == aWatch) {
            WaitFor(aDescriptor, aWatch);
          }
        });
  }

  static int OnTimer(CURLM* /*aMulti*/, long aMillis, void* aSelf) {
    auto& self = *static_cast<Impl*>(aSelf);
    self.mTimer.cancel();
    if (aMillis < 0) {
      return 0;
    }
    self.mTimer.expires_after(std::chrono::milliseconds(aMillis));
    self.mTimer.async_wait([&self](asio::error_code aError) {
      if (!aError) {
        self.HandleEvents(CURL_SOCKET_TIMEOUT, 0);
      }
    });
    return 0;
  }

  void HandleEvents(curl_socket_t aDescriptor, int aEvents) {
    int running = 0;
    curl_multi_socket_action(mMulti, aDescriptor, aEvents, &running);
    int left = 0;
    while (CURLMsg* const message = curl_multi_info_read(mMulti, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* aHandle, CURLcode aCode) {
    HttpTransfer* finished = nullptr;
    curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &finished);
    const auto found = mTransfers.find(finished->mId);
    const std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
    mTransfers.erase(found);
    long status = 0;
    curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &status);
    transfer->mResult.mStatus = static_cast<int>(status);
    long sent = 0;
    long headers = 0;
    curl_off_t received = 0;
    curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(aHandle, CURLINFO_HEADER_SIZE, &headers);
    curl_easy_getinfo(aHandle, CURLINFO_SIZE_DOWNLOAD_T, &received);
    transfer->mResult.mBytes =
        static_cast<std::size_t>(sent + headers + received) +
        transfer->mBody.size();
    transfer->mResult.mKind = transfer->KindOf(aCode);
    if (transfer->mResult.mKind != HttpResultKind::Answered) {
      transfer->mResult.mStatus = 0;
    }
    curl_multi_remove_handle(mMulti, aHandle);
    FreeHandle(*transfer);
    transfer->mCallback(std::move(transfer->mResult));
  }

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  CURLM* mMulti;
  Id mLastId = 0;
  /** Used by the transfers, so it is declared before them. */
  std::size_t mUnfinishedBytes = 0;
  std::unordered_map<Id, std::unique_ptr<HttpTransfer>> mTransfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> mWatches;
};

HttpClient::HttpClient(asio::io_context& aContext)
    : mImpl(std::make_unique<Impl>(aContext)) {}

HttpClient::~HttpClient() = default;

HttpClient::Id HttpClient::Send(const HttpCall& aCall, Callback aCallback) {
  return mImpl->Send(aCall, std::move(aCallback));
}

void HttpClient::Cancel(Id aId) { mImpl->Cancel(aId); }

}  // namespace papayawheel
