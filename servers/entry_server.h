#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/membership/control_engine.h"
#include "servers/control_worker.h"
#include "servers/host_state.h"
#include "servers/traffic_worker.h"

namespace papayawheel {

struct EntrySettings {
  ControlSettings mControl;
  TrafficSettings mTraffic;
  std::uint32_t mTrafficThreads = 2;
  std::string mPlatformAddress;
  std::uint64_t mIncarnation = 0;
};

/** The whole of one entry host. */
class EntryServer {
 public:
  EntryServer(const EntrySettings& aSettings, const Clock& aClock);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /** Starts all threads; false when the address cannot be used. */
  bool Start();
  [[nodiscard]] const std::string& LastError() const { return mLastError; }

  /** Leaves the answers, keeps serving for as long as callers may keep them,
   * finishes the calls in flight and stops.
   * @param aStopNow ends the wait when it becomes true. */
  void StopGracefully(const std::atomic<bool>& aStopNow);

 private:
  void Deliver(const CallActions& aActions);
  [[nodiscard]] std::size_t CallsInFlight();

  EntrySettings mSettings;
  HostState mState;
  ControlWorker mControl;
  std::vector<std::unique_ptr<TrafficWorker>> mWorkers;
  std::vector<std::thread> mThreads;
  std::string mLastError;
};

}  // namespace papayawheel
