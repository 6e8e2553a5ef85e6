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

/** How much a log line matters when not all can be written. */
enum class LogPriority {
  /** The ordinary course of a request. */
  Routine,
  /** A failure, a refusal or a change of what the process believes. */
  Important,
};

/** Lines on their way to a sink that may be slow. Push() never waits for the
 * sink: lines that find no room are dropped and counted, routine ones first. */
class LogQueue {
 public:
  using Sink = std::function<void(const std::string&)>;

  /** @param aMaxBytes that wait for the sink. Routine lines may use half. */
  LogQueue(Sink aSink, std::size_t aMaxBytes);
  /** Waits a moment for the sink to take what is left. */
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
    /** Lines dropped since that was last told. */
    std::uint64_t mUnreportedDrops = 0;
    std::uint64_t mDropped = 0;
    bool mWriting = false;
    bool mStopping = false;
  };

  static void Write(const std::shared_ptr<State>& aState, const Sink& aSink);

  std::size_t mMaxBytes;
  /** Shared with the writer, which may be stuck in the sink for good. */
  std::shared_ptr<State> mState;
  std::thread mWriter;
};

}  // namespace papayawheel
