#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "core/base/clock.h"

namespace papayawheel {

/** Finds out whether a host has lost its paths to all endpoints of a service.
 *
 * A single endpoint that is silent has failed; the host has lost the service if
 * several of them are silent and none has answered for some time since the
 * first of them. While that is in doubt, further endpoints are probed. */
class ReachTracker {
 public:
  explicit ReachTracker(TimePoint aNow) : mAnsweredAt(aNow) {}

  /** An endpoint answered a request or a probe in any way. */
  void NoteAnswer(TimePoint aNow);
  /** A request or a probe got no answer from an endpoint.
   * @param aEndpoints number of endpoints of the service. */
  void NoteSilence(const std::string& aEndpoint, std::size_t aEndpoints,
                   TimePoint aNow);
  /** Another host has lost the service: finds out whether this one reaches it.
   */
  void SetChecked(bool aIsChecked) { mIsChecked = aIsChecked; }

  [[nodiscard]] bool IsLost() const { return mIsLost; }
  /** Whether the service is reached, by a recent answer. */
  [[nodiscard]] bool IsReached(TimePoint aNow) const;

  /** Number of endpoints to probe now; 0 if no check is due. */
  std::size_t TakeChecks(TimePoint aNow);
  /** When TakeChecks() must be called next; nothing while there is no doubt. */
  [[nodiscard]] std::optional<TimePoint> NextCheck() const;
  /** Endpoints that were silent since the last answer. */
  [[nodiscard]] const std::set<std::string>& Silent() const { return mSilent; }

 private:
  TimePoint mAnsweredAt;
  /** Whether any endpoint has ever answered. */
  bool mHasAnswered = false;
  std::set<std::string> mSilent;
  /** When the first of them was noted. */
  TimePoint mSilentSince;
  std::size_t mAnswersInRow = 0;
  bool mIsLost = false;
  bool mIsChecked = false;
  TimePoint mNextCheck;
};

}  // namespace papayawheel
