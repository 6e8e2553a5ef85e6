#include "servers/traffic_worker.h"

#include <fmt/format.h>

#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <string_view>
#include <utility>

#include "core/outcome/not_run_status.h"
#include "drivers/log.h"
#include "servers/call_messages.h"

namespace papayawheel {
namespace {

constexpr std::chrono::milliseconds kTickInterval{2};

/** A call id consists of the worker's index above this bit and a serial number
 * below it. */
constexpr unsigned kWorkerShift = 48;

/** Targets that concern the host itself start with this prefix or are the
 * metrics target. */
constexpr std::string_view kHostPrefix = "/papayawheel/";
constexpr std::string_view kMetricsTarget = "/metrics";

/** Bounds of what one worker holds for callers. Bodies are at most 1 MiB by
 * default. */
constexpr ByteBounds kCallerBounds{64U << 20U, 8U << 20U};

/** Returns the settings of a server whose account belongs to its thread. */
HttpServerSettings WithAccount(HttpServerSettings aSettings) {
  aSettings.mMemory = MakeHttpMemory(kCallerBounds);
  return aSettings;
}

}  // namespace

TrafficWorker::TrafficWorker(HostState& aState, std::uint32_t aIndex,
                             const TrafficSettings& aSettings,
                             TrafficWorkerHooks aHooks)
    : mState(aState),
      mIndex(aIndex),
      mSettings(aSettings),
      mHooks(std::move(aHooks)),
      mContext(1),
      mClient(mContext),
      mServer(
          mContext, WithAccount(aSettings.mServer),
          [this](const HttpExchangePtr& aExchange) { OnRequest(aExchange); },
          [this](std::uint64_t aConnection) { OnClosed(aConnection); }),
      mTimer(mContext) {}

bool TrafficWorker::Start() {
  if (!mServer.Start()) {
    return false;
  }
  OnTick();
  return true;
}

void TrafficWorker::Stop() {
  asio::post(mContext, [this] {
    mServer.Stop();
    mContext.stop();
  });
}

void TrafficWorker::PerformActions(CallActions aActions) {
  asio::dispatch(mContext, [this, actions = std::move(aActions)] {
    for (const CallAction& action : actions) {
      Perform(action);
    }
  });
}

std::uint32_t TrafficWorker::WorkerOf(CallId aId) {
  return static_cast<std::uint32_t>(aId >> kWorkerShift);
}

template <typename Event>
void TrafficWorker::RunOnEngine(Event aEvent) {
  CallActions actions;
  std::vector<CrashReport> crashes;
  mState.WithEngine([&](CallEngine& aEngine) {
    actions = aEvent(aEngine, mState.TimeSource().Now());
    crashes = aEngine.TakeCrashReports();
  });
  if (!crashes.empty()) {
    // Sent to the other hosts at once, since the caller may retry the request
    // through one of them.
    mHooks.mOnCrashes(std::move(crashes));
  }
  mHooks.mDeliver(actions);
}

void TrafficWorker::OnRequest(const HttpExchangePtr& aExchange) {
  const std::string target = aExchange->Target();
  if (target.starts_with(kHostPrefix) || target == kMetricsTarget) {
    mHooks.mOnHostRequest(aExchange, mContext);
    return;
  }
  std::string reason;
  std::optional<CallRequest> request = ReadCall(*aExchange, reason);
  if (!request) {
    aExchange->Reply(
        ErrorReply(ErrorKind::BadRequest, Duration::zero(), reason));
    return;
  }
  if (aExchange->Body().size() > mSettings.mMaxBody) {
    aExchange->Reply(
        ErrorReply(ErrorKind::BodyTooLarge, Duration::zero(),
                   fmt::format("the limit is {} bytes", mSettings.mMaxBody)));
    return;
  }
  const CallId id = (CallId{mIndex} << kWorkerShift) | ++mLastCall;
  Call call;
  call.mExchange = aExchange;
  call.mRequest = std::move(*request);
  call.mHeaders = aExchange->Headers();
  call.mConnection = aExchange->ConnectionId();
  call.mArrivedAt = mState.TimeSource().Now();
  mConnectionCalls.Add(call.mConnection, id);
  const Call& stored = mCalls.emplace(id, std::move(call)).first->second;
  RunOnEngine([&](CallEngine& aEngine, TimePoint aNow) {
    return aEngine.Arrive(id, stored.mRequest, aNow);
  });
}

void TrafficWorker::OnClosed(std::uint64_t aConnection) {
  for (const CallId id : mConnectionCalls.Take(aConnection)) {
    RunOnEngine([id](CallEngine& aEngine, TimePoint aNow) {
      return aEngine.CallerDisconnected(id, aNow);
    });
  }
}

void TrafficWorker::OnTick() {
  // All workers share one engine, so one of them runs its timers.
  if (mIndex != 0) {
    return;
  }
  RunOnEngine(
      [](CallEngine& aEngine, TimePoint aNow) { return aEngine.Tick(aNow); });
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](asio::error_code aError) {
    if (!aError) {
      OnTick();
    }
  });
}

void TrafficWorker::Perform(const CallAction& aAction) {
  if (const auto* answer = std::get_if<AnswerAction>(&aAction)) {
    Answer(*answer);
  } else if (const auto* send = std::get_if<SendToEndpointAction>(&aAction)) {
    SendToEndpoint(*send);
  } else if (const auto* forward = std::get_if<SendToHostAction>(&aAction)) {
    SendToHost(*forward);
  } else if (const auto* cancel = std::get_if<CancelAction>(&aAction)) {
    Cancel(*cancel);
  }
}

void TrafficWorker::Answer(const AnswerAction& aAction) {
  const auto found = mCalls.find(aAction.mCall);
  if (found == mCalls.end()) {
    return;
  }
  const Call call = std::move(found->second);
  mCalls.erase(found);
  mConnectionCalls.Remove(call.mConnection, aAction.mCall);
  if (aAction.mResponse != nullptr) {
    const auto total = std::chrono::duration_cast<Duration>(
        mState.TimeSource().Now() - call.mArrivedAt);
    mState.Latencies().Add(total, total - call.mDownstreamTime);
  }
  call.mExchange->Reply(CallerReply(aAction));
}

void TrafficWorker::SendToEndpoint(const SendToEndpointAction& aAction) {
  const CallId id = aAction.mCall;
  StartSending(
      id,
      [&](const Call& aCall) {
        return EndpointCall(aAction, aCall.mRequest, aCall.mHeaders,
                            aCall.mExchange->Body());
      },
      [this, id, endpoint = aAction.mEndpoint](const HttpResult& aResult) {
        const EndpointReply reply = ReadEndpointReply(aResult);
        LogReplacedRefusal(id, endpoint, reply);
        RunOnEngine([&](CallEngine& aEngine, TimePoint aNow) {
          return aEngine.EndpointReplied(id, reply, aNow);
        });
      });
}

void TrafficWorker::LogReplacedRefusal(CallId aId, const std::string& aEndpoint,
                                       const EndpointReply& aReply) const {
  const auto found = mCalls.find(aId);
  if (found == mCalls.end() || aReply.mResponse == nullptr ||
      !PromisesNotRun(aReply.mResponse->mStatus)) {
    return;
  }
  const CallRequest& request = found->second.mRequest;
  const ErrorAnswer& error = AnswerOf(ErrorKind::UnconfirmedRefusal);
  Log(LogLevel::Info, "refusal_replaced",
      {{"customer", request.mCustomer},
       {"service", request.mService},
       {"key", request.mKey},
       {"endpoint", aEndpoint},
       {"endpoint_status", aReply.mResponse->mStatus},
       {"error", error.mName},
       {"status", error.mStatus}});
}

void TrafficWorker::SendToHost(const SendToHostAction& aAction) {
  const CallId id = aAction.mCall;
  StartSending(
      id,
      [&](const Call& aCall) {
        return HostCall(aAction, aCall.mRequest, aCall.mHeaders,
                        aCall.mExchange->Body());
      },
      [this, id](const HttpResult& aResult) {
        const HostReply reply = ReadHostReply(aResult);
        RunOnEngine([&](CallEngine& aEngine, TimePoint aNow) {
          return aEngine.HostReplied(id, reply, aNow);
        });
      });
}

void TrafficWorker::StartSending(
    CallId aId, const std::function<HttpCall(const Call&)>& aMessage,
    HttpClient::Callback aOnResult) {
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  Call& call = found->second;
  call.mSentAt = mState.TimeSource().Now();
  call.mClientCall = mClient.Send(
      aMessage(call),
      [this, aId, onResult = std::move(aOnResult)](HttpResult aResult) {
        AddDownstreamTime(aId);
        onResult(std::move(aResult));
      });
}

void TrafficWorker::AddDownstreamTime(CallId aId) {
  const auto found = mCalls.find(aId);
  if (found != mCalls.end()) {
    Call& call = found->second;
    call.mDownstreamTime += std::chrono::duration_cast<Duration>(
        mState.TimeSource().Now() - call.mSentAt);
  }
}

void TrafficWorker::Cancel(const CancelAction& aAction) {
  const auto found = mCalls.find(aAction.mCall);
  if (found != mCalls.end()) {
    mClient.Cancel(found->second.mClientCall);
  }
}

}  // namespace papayawheel
