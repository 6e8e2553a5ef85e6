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

/** Callbacks for what a worker does not handle itself. They run on the worker's
 * thread. */
struct TrafficWorkerHooks {
  /** A request for the host itself rather than for a service arrived; it is to
   * be answered on the given context. */
  std::function<void(HttpExchangePtr, asio::io_context&)> mOnHostRequest;
  /** Passes actions to the workers that hold the calls. */
  std::function<void(const CallActions&)> mDeliver;
  /** Endpoints crashed, or an earlier report of a crash was dismissed. */
  std::function<void(std::vector<CrashReport>)> mOnCrashes;
};

/** A traffic thread: accepts callers' requests, passes events to the engine and
 * performs the actions that it returns. */
class TrafficWorker {
 public:
  TrafficWorker(HostState& aState, std::uint32_t aIndex,
                const TrafficSettings& aSettings, TrafficWorkerHooks aHooks);
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;

  /** Starts listening. Returns false if the address cannot be used. */
  bool Start();
  [[nodiscard]] const std::string& LastError() const {
    return mServer.LastError();
  }

  /** Runs the event loop until Stop(), on the calling thread. */
  void Run() { mContext.run(); }

  /** Closes the server and ends Run(). May be called from any thread. */
  void Stop();

  /** Performs actions on this worker's calls. May be called from any thread. */
  void PerformActions(CallActions aActions);

  /** Returns the index of the worker that holds a call. */
  static std::uint32_t WorkerOf(CallId aId);

 private:
  struct Call {
    HttpExchangePtr mExchange;
    CallRequest mRequest;
    HeaderList mHeaders;
    std::uint64_t mConnection = 0;
    TimePoint mArrivedAt;
    /** Start of the last attempt or forward. */
    TimePoint mSentAt;
    /** Time spent waiting for endpoints and other hosts. */
    Duration mDownstreamTime{0};
    /** The last request that was sent for this call. */
    HttpClient::Id mClientCall = 0;
  };

  void OnRequest(const HttpExchangePtr& aExchange);
  void OnClosed(std::uint64_t aConnection);
  void OnTick();
  void Perform(const CallAction& aAction);
  void Answer(const AnswerAction& aAction);
  void SendToEndpoint(const SendToEndpointAction& aAction);
  /** Logs that the status of an endpoint's answer does not reach the caller,
   * if so. */
  void LogReplacedRefusal(CallId aId, const std::string& aEndpoint,
                          const EndpointReply& aReply) const;
  void SendToHost(const SendToHostAction& aAction);
  /** Sends a request for a call, unless the call has ended meanwhile.
   * @param aMessage builds the request. */
  void StartSending(CallId aId,
                    const std::function<HttpCall(const Call&)>& aMessage,
                    HttpClient::Callback aOnResult);
  void Cancel(const CancelAction& aAction);
  /** Adds the time since the request was sent to mDownstreamTime. */
  void AddDownstreamTime(CallId aId);
  /** Calls aEvent with the engine and delivers the actions that it returns. */
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
  ConnectionCalls mConnectionCalls;
};

}  // namespace papayawheel
