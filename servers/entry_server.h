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
  /** Address of the platform's configuration service. */
  std::string mPlatformAddress;
  /** Identifies this run of the process; differs after a restart. */
  std::uint64_t mIncarnation = 0;
};

/** An entry host: a control thread and several traffic threads. */
class EntryServer {
 public:
  EntryServer(const EntrySettings& aSettings, const Clock& aClock);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /** Starts all threads. Returns false if the listening address cannot be used;
   * LastError() then returns the reason. */
  bool Start();
  [[nodiscard]] const std::string& LastError() const { return mLastError; }

  /** Drains the host: directs no callers to it any more, continues to serve for
   * as long as callers may cache its address, and then waits for the calls in
   * flight. The threads are stopped by the destructor.
   * @param aStopNow ends the wait when it becomes true. */
  void StopGracefully(const std::atomic<bool>& aStopNow);

 private:
  /** Hands each action to the traffic thread that holds its call. */
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
