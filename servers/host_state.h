#pragma once

#include <atomic>
#include <mutex>
#include <utility>

#include "core/entry/call_engine.h"
#include "drivers/metrics.h"

namespace papayawheel {

/** State that the control thread and the traffic threads of an entry host
 * share. */
class HostState {
 public:
  HostState(HostIdentity aIdentity, const Clock& aClock)
      : mIdentity(std::move(aIdentity)),
        mClock(aClock),
        mEngine(mIdentity, aClock.Now()) {}

  /** Calls a function with the engine, under the engine's lock. */
  template <typename Function>
  auto WithEngine(Function aFunction) {
    const std::lock_guard<std::mutex> lock(mMutex);
    return aFunction(mEngine);
  }

  [[nodiscard]] const HostIdentity& Identity() const { return mIdentity; }
  [[nodiscard]] const Clock& TimeSource() const { return mClock; }
  [[nodiscard]] LatencyMetrics& Latencies() { return mLatencies; }

  /** Whether callers are not directed to this host any more, because it will
   * stop or an operator requested it. */
  [[nodiscard]] bool IsDraining() const { return mDraining; }
  void SetDraining(bool aDraining) { mDraining = aDraining; }

 private:
  HostIdentity mIdentity;
  const Clock& mClock;
  std::mutex mMutex;
  CallEngine mEngine;
  LatencyMetrics mLatencies;
  std::atomic<bool> mDraining{false};
};

}  // namespace papayawheel
