#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/entry/call.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "servers/connection_calls.h"
#include "servers/host_state.h"

namespace papayawheel {

struct TrafficSettings {
  HttpServerSettings mServer;
  /** Larger request bodies are refused with an error. */
  std::size_t mMaxBody = 1U << 20U;
};

/** Where a worker hands what is not its own work. */
struct TrafficWorkerHooks {
  /** A request for the host itself rather than for a service. */
  std::function<void(HttpExchangePtr, asio::io_context&)> mOnHostRequest;
  /** Actions on calls that any worker may hold. */
  std::function<void(const CallActions&)> mDeliver;
  /** Endpoints were seen to crash. */
  std::function<void(std::vector<CrashReport>)> mOnCrashes;
};

/** One traffic thread: takes callers' requests, asks the engine what to do and
 * does it. */
class TrafficWorker {
 public:
  TrafficWorker(HostState& aState, std::uint32_t aIndex,
                const TrafficSettings& aSettings, TrafficWorkerHooks aHooks);
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;

  /** Starts listening; false when the address cannot be used. */
  bool Start();
  [[nodiscard]] const std::string& LastError() const {
    return mServer.LastError();
  }

  /** Runs until Stop() is called; on the worker's own thread. */
  void Run() { mContext.run(); }

  /** Closes everything; callable from any thread. */
  void Stop();

  /** Runs the actions on calls of this worker; callable from any thread. */
  void PerformActions(CallActions aActions);

  /** The worker that holds a call. */
  static std::uint32_t WorkerOf(CallId aId);

 private:
  struct Call {
    HttpExchangePtr mExchange;
    CallRequest mRequest;
    HeaderList mHeaders;
    std::uint64_t mConnection = 0;
    TimePoint mArrivedAt;
    TimePoint mSentAt;
    Duration mDownstreamTime{0};
    HttpClient::Id mClientCall = 0;
  };

  void OnRequest(const HttpExchangePtr& aExchange);
  void OnClosed(std::uint64_t aConnection);
  void OnTick();
  void Perform(const CallAction& aAction);
  void Answer(const AnswerAction& aAction);
  void SendToEndpoint(const SendToEndpointAction& aAction);
  void SendToHost(const SendToHostAction& aAction);
  /** Sends the message of a call that this worker still holds. */
  void StartSending(CallId aId,
                    const std::function<HttpCall(const Call&)>& aMessage,
                    HttpClient::Callback aOnResult);
  void Cancel(const CancelAction& aAction);
  void AddDownstreamTime(CallId aId);
  /** Runs an event on the engine and delivers what it decides. */
  template <typename Event>
  void RunOnEngine(Event aEvent);

  HostState& mState;
  std::uint32_t mIndex;
  TrafficSettings mSettings;
  TrafficWorkerHooks mHooks;
  asio::io_context mContext;
  HttpClient mClient;
  HttpServer mServer;
  asio::steady_timer mTimer;
  CallId mLastCall = 0;
  std::unordered_map<CallId, Call> mCalls;
  ConnectionCalls mConnections;
};

}  // namespace papayawheel
