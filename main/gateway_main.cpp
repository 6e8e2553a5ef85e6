#include <malloc.h>

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
constexpr std::int64_t kMaxMegabytes = 1'000'000;
constexpr std::size_t kBytesPerMegabyte = 1'000'000;
constexpr std::int64_t kMaxDescriptors = 10'000'000;
constexpr double kBytesPerMegabit = 1e6 / 8;

void AddSettings(ProgramSettings& aSettings) {
  aSettings.AddFile(
      "settings-file",
      "file of lines \"name = value\" with any of these settings; "
      "reloaded when it changes");
  aSettings.Add("name", std::nullopt, "name of this host", CheckName);
  aSettings.Add("data-centre", std::nullopt, "data centre of this host",
                CheckName);
  aSettings.Add("front-address", std::nullopt,
                "address that callers connect to", CheckAddress);
  aSettings.Add("ready-address", std::nullopt,
                "address for readiness checks of the platform", CheckAddress);
  aSettings.Add("directory-address", std::nullopt,
                "address at which callers look up hosts", CheckAddress);
  aSettings.Add("control-address", std::nullopt,
                "address for other hosts and operators", CheckAddress);
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
                      "longest time of a graceful stop, in milliseconds");
  aSettings.AddNumber("directory-keep-ms", 5000, 100, kMaxMillis,
                      "longest time that callers may cache an answer of "
                      "the directory, in milliseconds");
  aSettings.AddDecimal("retry-ratio", "0.2", 0, 10,
                       "retries to a service for each request");
  aSettings.AddDecimal("retry-slack", "75", 0, 1'000'000,
                       "retries beyond that in a window, of all hosts");
  aSettings.AddNumber("retry-window-ms", 10'000, 100, kMaxMillis,
                      "length of that window in milliseconds");
  aSettings.AddOptionalDecimal(
      "hedge-limit-percent", 0, 100,
      "hedges for each hundred requests to a service; empty for no limit but "
      "the retry budget");
  aSettings.AddDecimal("probe-rate", "60", 0, 1'000'000,
                       "load probes to an endpoint per second, of all hosts");
  aSettings.AddDecimal("cold-over", "1.5", 0, 1000,
                       "requests to a cold endpoint as a multiple of the rate "
                       "that it can sustain, of all hosts");
  aSettings.AddDecimal("cold-slack", "8", 0, 1'000'000,
                       "requests beyond that in a second, of all hosts");
  aSettings.AddDecimal("processor-share", "0", 0, 1024,
                       "processor cores of this host; 0 if unknown");
  aSettings.AddDecimal("processor-speed", "1", 0, 1024,
                       "speed of a core relative to the usual one");
  aSettings.AddDecimal("link-mbps", "0", 0, 10'000'000,
                       "link capacity in Mbit/s each way; 0 if unknown");
  aSettings.AddNumber("answer-head-bytes", 65'536, 1024, 80'000,
                      "largest head of an endpoint's answer, in bytes");
  aSettings.AddNumber("answer-body-bytes", 8'388'608, 1024, kMaxBytes,
                      "largest body of an endpoint's answer, in bytes");
  aSettings.AddNumber("answers-bytes", 33'554'432, 1024, kMaxBytes,
                      "largest total of unfinished answers, in bytes");
  aSettings.AddNumber("callers-bytes", 0, 0, kMaxBytes,
                      "largest total of bytes held for callers, beyond one "
                      "large body; 0: an eighth of memory-mb, or 24 MiB");
  aSettings.AddNumber("memory-mb", 0, 0, kMaxMegabytes,
                      "memory of this host in MB; 0 if unknown");
  aSettings.AddNumber("max-fds", 0, 0, kMaxDescriptors,
                      "most descriptors that this host may open; 0 for no "
                      "limit");
  aSettings.Add("log-level", "info", "lowest level that is logged",
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
  gateway.mHedgeLimit = aSettings.OptionalDecimal("hedge-limit-percent");
  gateway.mProbeBudget.mPerEndpoint = aSettings.Decimal("probe-rate");
  gateway.mWarmUpTerms.mOver = aSettings.Decimal("cold-over");
  gateway.mWarmUpTerms.mSlack = aSettings.Decimal("cold-slack");
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
  MachineLimits machine;
  machine.mCallersBytes =
      static_cast<std::size_t>(aSettings.Number("callers-bytes"));
  machine.mMemoryBytes =
      static_cast<std::size_t>(aSettings.Number("memory-mb")) *
      kBytesPerMegabyte;
  machine.mDescriptors = static_cast<std::size_t>(aSettings.Number("max-fds"));
  gateway.mCallerLimits = DeriveCallerLimits(machine);
  return gateway;
}

constexpr int kLargeBlock = 256 << 10;

/** Interval between checks of the settings file, as it may change without a
 * signal. */
constexpr timespec kFileCheckPeriod{2, 0};

/** Detects changes of the settings file by its modification time. */
class SettingsFileWatch {
 public:
  explicit SettingsFileWatch(std::filesystem::path aPath)
      : mPath(std::move(aPath)), mLastWriteTime(LastWriteTime()) {}

  /** Whether the file has changed since the last call. */
  bool HasChanged() {
    const auto current = LastWriteTime();
    const bool changed = current != mLastWriteTime;
    mLastWriteTime = current;
    return changed;
  }

 private:
  [[nodiscard]] std::filesystem::file_time_type LastWriteTime() const {
    // While the file is missing, such as during its replacement, this is the
    // minimum of the time type.
    std::error_code ignored;
    return std::filesystem::last_write_time(mPath, ignored);
  }

  std::filesystem::path mPath;
  std::filesystem::file_time_type mLastWriteTime;
};

/** Reloads the settings after a signal or a change of the file. Only the log
 * level and the seeds take effect; the other settings cannot change while the
 * process runs. */
void Reload(int aCount, const char* const* aArguments,
            GatewayControl& aControl) {
  ProgramSettings settings("papayawheel-gateway", "");
  AddSettings(settings);
  if (settings.Parse(aCount, aArguments)) {
    Log(LogLevel::Error, "reload_refused", {{"reason", "invalid settings"}});
    return;
  }
  const GatewaySettings gateway = ReadSettings(settings);
  SetLogLevel(*ParseLogLevel(settings.Text("log-level")));
  aControl.SetSeeds(gateway.mSeeds);
  Log(LogLevel::Info, "reloaded", {{"seeds", settings.Text("seeds")}});
}

/** Blocks the signals that the main thread waits for, so that a signal that
 * arrives during startup stays pending. All threads inherit the mask. */
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Makes the allocator return large blocks to the system when they are freed.
 * By default it raises its threshold after the first large block and keeps
 * later ones of up to 32 MiB. */
void ReturnLargeBlocks() { mallopt(M_MMAP_THRESHOLD, kLargeBlock); }

}  // namespace

int main(int aCount, char** aArguments) {
  ReturnLargeBlocks();
  const sigset_t signals = BlockSignals();
  ProgramSettings settings(
      "papayawheel-gateway",
      "serves the requests of published routes on one entry host");
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
          [&traffic](bool aFresh) { traffic->SetViewFreshness(aFresh); },
          [&traffic](std::vector<MemberRecord> aMembers,
                     std::vector<std::string> aKnown) {
            traffic->SetMembers(std::move(aMembers), std::move(aKnown));
          },
          [&traffic](const CrashRecord& aCrash) { traffic->NoteCrash(aCrash); },
          [&traffic] { return traffic->RenderMetrics(); },
          [&traffic](const GatewayRequest& aRequest) {
            return traffic->Explain(aRequest);
          }});
  const pthread_t mainThread = pthread_self();
  GatewayTraffic gatewayTraffic(
      gateway, clock,
      TrafficHooks{
          [&control] { control.Drain(); },
          [&control](std::vector<CrashRecord> aCrashes) {
            control.BroadcastCrashRecords(std::move(aCrashes));
          },
          [&control] { control.NoteSuspension(); },
          [&control](const HostLoad& aLoad) { control.SetHostLoad(aLoad); },
          [&control](const ServiceReach& aReach) { control.SetReach(aReach); },
          [mainThread] { pthread_kill(mainThread, SIGUSR1); }});
  traffic = &gatewayTraffic;
  if (!gatewayTraffic.Start() || !control.Start()) {
    Log(LogLevel::Error, "cannot_listen",
        {{"reason", gatewayTraffic.LastError() + control.LastError()}});
    return kExitFailure;
  }
  Log(LogLevel::Info, "started",
      {{"host", gateway.mName},
       {"data_centre", gateway.mDataCentre},
       {"front", gateway.mFrontAddress}});
  std::thread trafficThread([&gatewayTraffic] { gatewayTraffic.Run(); });
  std::thread controlThread([&control] { control.Run(); });
  SettingsFileWatch fileWatch(settings.Text("settings-file"));
  bool done = false;
  while (!done) {
    const int signal = sigtimedwait(&signals, nullptr, &kFileCheckPeriod);
    if (signal == SIGHUP || fileWatch.HasChanged()) {
      Reload(aCount, aArguments, control);
    }
    if (signal <= 0 || signal == SIGHUP) {
      continue;
    }
    if (signal == SIGUSR1) {
      done = true;
    } else {
      gatewayTraffic.Drain();
    }
  }
  Log(LogLevel::Info, "stopped", {{"host", gateway.mName}});
  // The control thread may wait for figures of the traffic thread, which must
  // run until then.
  control.Stop();
  controlThread.join();
  gatewayTraffic.Stop();
  trafficThread.join();
  return kExitOk;
}
