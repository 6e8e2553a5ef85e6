#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace papayawheel {

/** Which log lines are kept if the queue is full. */
enum class LogPriority {
  /** The normal course of a request. */
  Routine,
  /** A failure, a refusal or a change of the process's view of other
   * systems. */
  Important,
};

/** Queue of log lines for a sink that may be slow. Push() never waits for the
 * sink: lines that exceed the limit are dropped and counted, routine ones
 * first. */
class LogQueue {
 public:
  using Sink = std::function<void(const std::string&)>;

  /** @param aMaxBytes limit for queued lines, of which routine lines may use
   * half. */
  LogQueue(Sink aSink, std::size_t aMaxBytes);
  /** Waits a limited time for the sink to write the remaining lines. */
  ~LogQueue();
  LogQueue(const LogQueue&) = delete;
  LogQueue& operator=(const LogQueue&) = delete;

  /** Adds a line, which ends with a line break. */
  void Push(const std::string& aLine, LogPriority aPriority);

  [[nodiscard]] std::uint64_t Dropped() const;

 private:
  struct State {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::string mQueued;
    /** Lines dropped since drops were last reported. */
    std::uint64_t mUnreportedDrops = 0;
    std::uint64_t mDropped = 0;
    bool mWriting = false;
    bool mStopping = false;
  };

  static void Write(const std::shared_ptr<State>& aState, const Sink& aSink);

  std::size_t mMaxBytes;
  /** Shared with the writer thread, which may be blocked in the sink
   * forever. */
  std::shared_ptr<State> mState;
  std::thread mWriter;
};

}  // namespace papayawheel
