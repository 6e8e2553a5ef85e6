#include "core/gateway/reach_tracker.h"

namespace papayawheel {

void ReachTracker::NoteAnswer(TimePoint aNow) { mAnsweredAt = aNow; }

void ReachTracker::NoteSilence(const std::string& /*aEndpoint*/,
                               std::size_t /*aEndpoints*/, TimePoint /*aNow*/) {
}

bool ReachTracker::IsReached(TimePoint /*aNow*/) const { return false; }

std::size_t ReachTracker::TakeChecks(TimePoint /*aNow*/) { return 0; }

std::optional<TimePoint> ReachTracker::NextCheck() const {
  return std::nullopt;
}

}  // namespace papayawheel
