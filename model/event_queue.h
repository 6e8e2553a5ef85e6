#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel::model {

/** Event queue of a discrete-event simulation: runs events in the order of
 * their times and sets a virtual clock to the time of each. */
class EventQueue {
 public:
  [[nodiscard]] TimePoint Now() const { return mNow; }

  /** Schedules an event at a time, or now if that has passed. Events with the
   * same time run in the order in which they were scheduled. */
  void At(TimePoint aTime, std::function<void()> aEvent) {
    mEvents.push(Event{std::max(aTime, mNow), ++mLast, std::move(aEvent)});
  }
  void After(Duration aDelay, std::function<void()> aEvent) {
    At(mNow + aDelay, std::move(aEvent));
  }

  /** Runs all events that are due up to and including a time, then sets the
   * clock to it. */
  void RunUntil(TimePoint aTime) {
    while (!mEvents.empty() && mEvents.top().mTime <= aTime) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      event.mAction();
    }
    mNow = std::max(mNow, aTime);
  }

 private:
  struct Event {
    TimePoint mTime;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const {
      return std::pair(aOther.mTime, aOther.mOrder) < std::pair(mTime, mOrder);
    }
  };

  TimePoint mNow{std::chrono::hours(1)};
  std::uint64_t mLast = 0;
  std::priority_queue<Event> mEvents;
};

}  // namespace papayawheel::model
