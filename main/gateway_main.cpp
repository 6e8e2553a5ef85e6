#include <atomic>
#include <chrono>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <optional>
#include <thread>

#include "core/config/address.h"
#include "drivers/log.h"
#include "drivers/program_settings.h"
#include "drivers/system_clock.h"
#include "servers/gateway_control.h"
#include "servers/gateway_traffic.h"

namespace {

using namespace papayawheel;

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxMillis = 3'600'000;
constexpr std::int64_t kMaxBytes = 1'073'741'824;
constexpr double kBytesPerMegabit = 1e6 / 8;

void AddSettings(ProgramSettings& aSettings) {
  aSettings.AddFile(
      "settings-file",
      "file of lines \"name = value\" with any of these settings; "
      "read again when it changes");
  aSettings.Add("name", std::nullopt, "name of this host", CheckName);
  aSettings.Add("data-centre", std::nullopt, "data centre of this host",
                CheckName);
  aSettings.Add("front-address", std::nullopt, "where callers connect",
                CheckAddress);
  aSettings.Add("ready-address", std::nullopt,
                "where the platform asks whether this host is ready",
                CheckAddress);
  aSettings.Add("directory-address", std::nullopt,
                "where callers ask which hosts to use", CheckAddress);
  aSettings.Add("control-address", std::nullopt,
                "for other hosts and for operators", CheckAddress);
  aSettings.AddNumber("gossip-port", std::nullopt, 1, kMaxPort,
                      "UDP port for gossip between hosts");
  aSettings.Add("store", std::nullopt, "address of the platform's store",
                CheckAddress);
  aSettings.Add("seeds", "",
                "addresses of some other hosts, separated by commas",
                CheckAddressList);
  aSettings.Add("first-start", "false",
                "whether the whole fleet starts for the first time",
                CheckBoolean);
  aSettings.AddNumber("grace-ms", 6000, 1000, kMaxMillis,
                      "time from the signal to stop to the end");
  aSettings.AddNumber("directory-keep-ms", 5000, 100, kMaxMillis,
                      "longest time that callers may keep an answer of the "
                      "directory");
  aSettings.AddDecimal("retry-ratio", "0.2", 0, 10,
                       "repeated sends to a service for each request");
  aSettings.AddDecimal("retry-slack", "75", 0, 1'000'000,
                       "repeated sends beyond that in a window, of all hosts");
  aSettings.AddNumber("retry-window-ms", 10'000, 100, kMaxMillis,
                      "length of that window");
  aSettings.AddDecimal("probe-rate", "60", 0, 1'000'000,
                       "questions for its load to an endpoint in a second, of "
                       "all hosts");
  aSettings.AddDecimal("processor-share", "0", 0, 1024,
                       "part of a core that this host has; 0 if unknown");
  aSettings.AddDecimal("processor-speed", "1", 0, 1024,
                       "how many times faster than usual a core of it is");
  aSettings.AddDecimal("link-mbps", "0", 0, 10'000'000,
                       "Mbit/s of this host's link each way; 0 if unknown");
  aSettings.AddNumber("answer-head-bytes", 65'536, 1024, 80'000,
                      "longest head of an endpoint's answer");
  aSettings.AddNumber("answer-body-bytes", 8'388'608, 1024, kMaxBytes,
                      "longest body of an endpoint's answer");
  aSettings.AddNumber("answers-bytes", 33'554'432, 1024, kMaxBytes,
                      "bytes of unfinished answers of all endpoints");
  aSettings.Add("log-level", "info", "least level that is logged",
                CheckLogLevel);
}

GatewaySettings ReadSettings(const ProgramSettings& aSettings) {
  using std::chrono::milliseconds;
  GatewaySettings gateway;
  gateway.mName = aSettings.Text("name");
  gateway.mDataCentre = aSettings.Text("data-centre");
  gateway.mFrontAddress = aSettings.Text("front-address");
  gateway.mReadyAddress = aSettings.Text("ready-address");
  gateway.mDirectoryAddress = aSettings.Text("directory-address");
  gateway.mControlAddress = aSettings.Text("control-address");
  gateway.mGossipPort =
      static_cast<std::uint16_t>(aSettings.Number("gossip-port"));
  gateway.mSeeds = aSettings.List("seeds");
  gateway.mStoreAddress = aSettings.Text("store");
  gateway.mIsFirstStart = aSettings.Text("first-start") == "true";
  gateway.mGracePeriod = milliseconds(aSettings.Number("grace-ms"));
  gateway.mMaxDirectoryTtl =
      milliseconds(aSettings.Number("directory-keep-ms"));
  gateway.mRetryBudget.mRatio = aSettings.Decimal("retry-ratio");
  gateway.mRetryBudget.mSlack = aSettings.Decimal("retry-slack");
  gateway.mRetryBudget.mWindow =
      milliseconds(aSettings.Number("retry-window-ms"));
  gateway.mProbeBudget.mPerEndpoint = aSettings.Decimal("probe-rate");
  gateway.mCapacity.mCores = aSettings.Decimal("processor-share") *
                             aSettings.Decimal("processor-speed");
  gateway.mCapacity.mLinkBytes =
      aSettings.Decimal("link-mbps") * kBytesPerMegabit;
  gateway.mAnswerLimits.mMaxHead =
      static_cast<std::size_t>(aSettings.Number("answer-head-bytes"));
  gateway.mAnswerLimits.mMaxBody =
      static_cast<std::size_t>(aSettings.Number("answer-body-bytes"));
  gateway.mAnswerLimits.mMaxUnfinished =
      static_cast<std::size_t>(aSettings.Number("answers-bytes"));
  return gateway;
}

/** How often the settings file is looked at: it may change without a signal. */
constexpr timespec kFileCheckPeriod{2, 0};

/** Notices when the settings file has been written anew. */
class SettingsFileWatch {
 public:
  explicit SettingsFileWatch(std::filesystem::path aPath)
      : mPath(std::move(aPath)), mLastWriteTime(LastWriteTime()) {}

  /** Whether it has changed since the last call. */
  bool HasChanged() {
    const auto written = LastWriteTime();
    const bool changed = written != mLastWriteTime;
    mLastWriteTime = written;
    return changed;
  }

 private:
  [[nodiscard]] std::filesystem::file_time_type LastWriteTime() const {
    // A file that is being replaced counts as written at the beginning of time.
    std::error_code ignored;
    return std::filesystem::last_write_time(mPath, ignored);
  }

  std::filesystem::path mPath;
  std::filesystem::file_time_type mLastWriteTime;
};

/** Reads the settings file again after a signal. What cannot change while the
 * process runs stays as it was. */
void Reload(int aCount, const char* const* aArguments,
            GatewayControl& aControl) {
  ProgramSettings settings("papayawheel-gateway", "");
  AddSettings(settings);
  if (settings.Parse(aCount, aArguments)) {
    Log(LogLevel::Error, "reload_refused", {{"reason", "bad settings"}});
    return;
  }
  const GatewaySettings gateway = ReadSettings(settings);
  SetLogLevel(*ParseLogLevel(settings.Text("log-level")));
  aControl.SetSeeds(gateway.mSeeds);
  Log(LogLevel::Info, "reloaded", {{"seeds", settings.Text("seeds")}});
}

/** Keeps the signals that the main thread waits for until it does, also those
 * that arrive during the start. All threads inherit the mask. */
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int main(int aCount, char** aArguments) {
  const sigset_t signals = BlockSignals();
  ProgramSettings settings(
      "papayawheel-gateway",
      "carries the requests of published routes on one entry host");
  AddSettings(settings);
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  SetLogLevel(*ParseLogLevel(settings.Text("log-level")));
  signal(SIGPIPE, SIG_IGN);  // NOLINT(bugprone-signal-handler)

  const SystemClock clock;
  const GatewaySettings gateway = ReadSettings(settings);
  GatewayTraffic* traffic = nullptr;
  GatewayControl control(
      gateway, clock,
      ControlHooks{
          [&traffic](std::shared_ptr<const RoutingView> aView) {
            traffic->SetView(std::move(aView));
          },
          [&traffic](bool aTrusted) { traffic->SetViewFreshness(aTrusted); },
          [&traffic](std::vector<MemberRecord> aMembers, std::size_t aKnown) {
            traffic->SetMembers(std::move(aMembers), aKnown);
          },
          [&traffic](const CrashRecord& aCrash) { traffic->NoteCrash(aCrash); },
          [&traffic] { return traffic->RenderMetrics(); }});
  const pthread_t mainThread = pthread_self();
  GatewayTraffic serving(
      gateway, clock,
      TrafficHooks{
          [&control] { control.Drain(); },
          [&control](std::vector<CrashRecord> aCrashes) {
            control.BroadcastCrashRecords(std::move(aCrashes));
          },
          [&control] { control.NoteSuspension(); },
          [&control](const HostLoad& aUse) { control.SetHostLoad(aUse); },
          [mainThread] { pthread_kill(mainThread, SIGUSR1); }});
  traffic = &serving;
  if (!serving.Start() || !control.Start()) {
    Log(LogLevel::Error, "cannot_listen",
        {{"reason", serving.LastError() + control.LastError()}});
    return kExitFailure;
  }
  Log(LogLevel::Info, "started",
      {{"host", gateway.mName},
       {"data_centre", gateway.mDataCentre},
       {"front", gateway.mFrontAddress}});
  std::thread trafficThread([&serving] { serving.Run(); });
  std::thread controlThread([&control] { control.Run(); });
  SettingsFileWatch file(settings.Text("settings-file"));
  bool done = false;
  while (!done) {
    const int signal = sigtimedwait(&signals, nullptr, &kFileCheckPeriod);
    if (signal == SIGHUP || file.HasChanged()) {
      Reload(aCount, aArguments, control);
    }
    if (signal <= 0 || signal == SIGHUP) {
      continue;
    }
    if (signal == SIGUSR1) {
      done = true;
    } else {
      serving.Drain();
    }
  }
  Log(LogLevel::Info, "stopped", {{"host", gateway.mName}});
  control.Stop();
  serving.Stop();
  controlThread.join();
  trafficThread.join();
  return kExitOk;
}
