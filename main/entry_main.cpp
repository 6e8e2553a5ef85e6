#include <csignal>
#include <random>
#include <thread>

#include "core/config/address.h"
#include "drivers/log.h"
#include "drivers/program_settings.h"
#include "drivers/system_clock.h"
#include "servers/entry_server.h"

namespace {

using namespace papayawheel;

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kDefaultMaxBodyBytes = 1 << 20;
constexpr std::int64_t kMaxMaxBodyBytes = 64 << 20;
constexpr std::int64_t kDefaultControlBytesPerSecond = 29'000;

void AddSettings(ProgramSettings& aSettings) {
  aSettings.Add("name", std::nullopt, "name of this host", CheckName);
  aSettings.Add("data-centre", std::nullopt, "data centre of this host",
                CheckName);
  aSettings.Add("address", std::nullopt,
                "IP address and port to listen on, as published", CheckAddress);
  aSettings.Add("platform", std::nullopt, "address of the platform's service",
                CheckAddress);
  aSettings.Add("peers", "",
                "addresses of some other hosts, separated by commas, to "
                "contact at startup",
                CheckAddressList);
  aSettings.AddNumber("traffic-threads", 2, 1, kMaxThreads,
                      "threads that serve calls");
  aSettings.AddNumber("max-body-bytes", kDefaultMaxBodyBytes, 1,
                      kMaxMaxBodyBytes,
                      "largest request body that is accepted");
  aSettings.AddNumber("control-bytes-per-second", kDefaultControlBytesPerSecond,
                      1000, 1'000'000'000,
                      "bytes per second that control traffic may use");
  aSettings.Add("log-level", "info", "lowest level that is logged",
                CheckLogLevel);
}

EntrySettings ReadSettings(const ProgramSettings& aSettings) {
  std::random_device random;
  EntrySettings entry;
  const Address address = *ParseAddress(aSettings.Text("address"));
  entry.mControl.mName = aSettings.Text("name");
  entry.mControl.mDataCentre = aSettings.Text("data-centre");
  entry.mControl.mAddress = aSettings.Text("address");
  entry.mControl.mPeers = aSettings.List("peers");
  entry.mControl.mBytesPerSecond =
      static_cast<double>(aSettings.Number("control-bytes-per-second"));
  entry.mControl.mSeed = random();
  entry.mTraffic.mMaxBody =
      static_cast<std::size_t>(aSettings.Number("max-body-bytes"));
  entry.mTraffic.mServer.mIp = address.mIp;
  entry.mTraffic.mServer.mPort = address.mPort;
  entry.mTraffic.mServer.mSharePort = true;
  // Bodies somewhat above the limit are read, so that the caller gets an error
  // instead of a closed connection.
  entry.mTraffic.mServer.mMaxBody = entry.mTraffic.mMaxBody * 4;
  entry.mTrafficThreads =
      static_cast<std::uint32_t>(aSettings.Number("traffic-threads"));
  entry.mPlatformAddress = aSettings.Text("platform");
  entry.mIncarnation = (std::uint64_t{random()} << 32U) | random();
  return entry;
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-entry",
                           "serves callers on one entry host");
  AddSettings(settings);
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  SetLogLevel(*ParseLogLevel(settings.Text("log-level")));
  // All threads inherit the mask, so only sigwait() receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);  // NOLINT(bugprone-signal-handler)

  const SystemClock clock;
  EntryServer server(ReadSettings(settings), clock);
  if (!server.Start()) {
    Log(LogLevel::Error, "cannot_listen",
        {{"address", settings.Text("address")},
         {"reason", server.LastError()}});
    return kExitFailure;
  }
  Log(LogLevel::Info, "started",
      {{"host", settings.Text("name")},
       {"data_centre", settings.Text("data-centre")},
       {"address", settings.Text("address")}});
  int signal = 0;
  sigwait(&signals, &signal);
  // A second signal ends the wait of the graceful stop.
  std::atomic<bool> skipWait{false};
  std::thread([&signals, &skipWait] {
    int secondSignal = 0;
    sigwait(&signals, &secondSignal);
    skipWait = true;
  }).detach();
  server.StopGracefully(skipWait);
  return kExitOk;
}
