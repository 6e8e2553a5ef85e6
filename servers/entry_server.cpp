#include "servers/entry_server.h"

#include <utility>

#include "core/membership/host_directory.h"
#include "drivers/log.h"

namespace papayawheel {
namespace {

/** Time for the other hosts to learn that this host drains. */
constexpr std::chrono::seconds kDrainMargin{1};
constexpr std::chrono::milliseconds kPollInterval{20};

/** Time for the last answers to be sent after their calls have ended. */
constexpr std::chrono::milliseconds kFlushTime{100};

}  // namespace

EntryServer::EntryServer(const EntrySettings& aSettings, const Clock& aClock)
    : mSettings(aSettings),
      mState(
          HostIdentity{aSettings.mControl.mName, aSettings.mControl.mDataCentre,
                       aSettings.mIncarnation},
          aClock),
      mControl(mState, aSettings.mControl, aSettings.mPlatformAddress) {
  for (std::uint32_t index = 0; index < mSettings.mTrafficThreads; ++index) {
    TrafficWorkerHooks hooks;
    hooks.mOnHostRequest = [this](const HttpExchangePtr& aExchange,
                                  asio::io_context& aContext) {
      mControl.HandleRequest(aExchange, aContext);
    };
    hooks.mDeliver = [this](const CallActions& aActions) { Deliver(aActions); };
    hooks.mOnCrashes = [this](std::vector<CrashReport> aReports) {
      mControl.BroadcastCrashReports(std::move(aReports));
    };
    mWorkers.push_back(std::make_unique<TrafficWorker>(
        mState, index, mSettings.mTraffic, std::move(hooks)));
  }
}

EntryServer::~EntryServer() {
  for (const auto& worker : mWorkers) {
    worker->Stop();
  }
  mControl.Stop();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

bool EntryServer::Start() {
  for (const auto& worker : mWorkers) {
    if (!worker->Start()) {
      mLastError = worker->LastError();
      return false;
    }
  }
  mThreads.emplace_back([this] { mControl.Run(); });
  for (const auto& worker : mWorkers) {
    mThreads.emplace_back([&worker = *worker] { worker.Run(); });
  }
  return true;
}

void EntryServer::StopGracefully(const std::atomic<bool>& aStopNow) {
  Log(LogLevel::Info, "stopping", {{"host", mState.Identity().mName}});
  mControl.SetDraining(true, "the process is shutting down");
  const TimePoint drainUntil =
      mState.TimeSource().Now() + kDirectoryAnswerTtl + kDrainMargin;
  while (!aStopNow && mState.TimeSource().Now() < drainUntil) {
    std::this_thread::sleep_for(kPollInterval);
  }
  while (!aStopNow && CallsInFlight() > 0) {
    std::this_thread::sleep_for(kPollInterval);
  }
  if (!aStopNow) {
    std::this_thread::sleep_for(kFlushTime);
  }
  Log(LogLevel::Info, "stopped",
      {{"host", mState.Identity().mName}, {"cut_off", CallsInFlight()}});
}

void EntryServer::Deliver(const CallActions& aActions) {
  for (const CallAction& action : aActions) {
    const CallId id =
        std::visit([](const auto& aAction) { return aAction.mCall; }, action);
    mWorkers.at(TrafficWorker::WorkerOf(id))->PerformActions({action});
  }
}

std::size_t EntryServer::CallsInFlight() {
  return mState.WithEngine(
      [](CallEngine& aEngine) { return aEngine.InFlight(); });
}

}  // namespace papayawheel
