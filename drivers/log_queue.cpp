#include "drivers/log_queue.h"

#include <fmt/format.h>

#include <chrono>
#include <memory>
#include <utility>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Delay before a write, so that lines in quick succession are written
 * together. */
constexpr milliseconds kBatchDelay{50};

/** How long the destructor waits for the sink to write the remaining lines. */
constexpr milliseconds kFlushTimeout{200};

}  // namespace

LogQueue::LogQueue(Sink aSink, std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes), mState(std::make_shared<State>()) {
  mWriter = std::thread(
      [state = mState, sink = std::move(aSink)] { Write(state, sink); });
}

LogQueue::~LogQueue() {
  std::unique_lock lock(mState->mMutex);
  mState->mStopping = true;
  mState->mChanged.notify_all();
  mState->mChanged.wait_for(lock, kFlushTimeout, [this] {
    return mState->mQueued.empty() && !mState->mWriting;
  });
  // A blocked sink must not delay the end of the process.
  mWriter.detach();
}

void LogQueue::Push(const std::string& aLine, LogPriority aPriority) {
  const std::size_t maxBytes =
      aPriority == LogPriority::Routine ? mMaxBytes / 2 : mMaxBytes;
  const std::lock_guard lock(mState->mMutex);
  if (mState->mQueued.size() + aLine.size() > maxBytes) {
    ++mState->mDropped;
    ++mState->mUnreportedDrops;
    return;
  }
  const bool wasEmpty = mState->mQueued.empty();
  mState->mQueued += aLine;
  if (wasEmpty) {
    mState->mChanged.notify_all();
  }
}

std::uint64_t LogQueue::Dropped() const {
  const std::lock_guard lock(mState->mMutex);
  return mState->mDropped;
}

void LogQueue::Write(const std::shared_ptr<State>& aState, const Sink& aSink) {
  std::unique_lock lock(aState->mMutex);
  while (true) {
    aState->mChanged.wait(lock, [&aState] {
      return !aState->mQueued.empty() || aState->mStopping;
    });
    if (aState->mQueued.empty()) {
      return;
    }
    if (!aState->mStopping) {
      aState->mChanged.wait_for(lock, kBatchDelay,
                                [&aState] { return aState->mStopping; });
    }
    std::string lines = std::exchange(aState->mQueued, {});
    const std::uint64_t unreportedDrops =
        std::exchange(aState->mUnreportedDrops, 0);
    aState->mWriting = true;
    lock.unlock();
    if (unreportedDrops > 0) {
      lines += fmt::format("level=warning event=log_lines_dropped count={}\n",
                           unreportedDrops);
    }
    aSink(lines);
    lock.lock();
    aState->mWriting = false;
    aState->mChanged.notify_all();
  }
}

}  // namespace papayawheel
