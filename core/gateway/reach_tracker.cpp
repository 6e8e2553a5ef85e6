#include "core/gateway/reach_tracker.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Silent endpoints that show a cut; all of them if the service has fewer.
 * Fewer may have failed by themselves. */
constexpr std::size_t kMinSilentEndpoints = 3;

/** Time from the first silent endpoint, without any answer, after which the
 * service counts as lost. Further endpoints are probed meanwhile, and those of
 * a service that is reached answer within milliseconds. */
constexpr milliseconds kMinSilence{300};

/** Answers in a row after which a lost service counts as reached again. */
constexpr std::size_t kMinAnswersInRow = 2;

/** An answer shows for this time that the service is reached. */
constexpr seconds kAnswerLifetime{2};

/** While there is doubt, so many endpoints are probed at this interval. */
constexpr std::size_t kProbesPerCheck = 3;
constexpr milliseconds kCheckInterval{100};
/** The interval while the service is lost, or is reached and another host asks
 * for it. */
constexpr milliseconds kSlowCheckInterval{400};

}  // namespace

void ReachTracker::NoteAnswer(TimePoint aNow) {
  mAnsweredAt = aNow;
  mHasAnswered = true;
  mSilent.clear();
  ++mAnswersInRow;
  if (mAnswersInRow >= kMinAnswersInRow) {
    mIsLost = false;
  }
}

void ReachTracker::NoteSilence(const std::string& aEndpoint,
                               std::size_t aEndpoints, TimePoint aNow) {
  mAnswersInRow = 0;
  if (mSilent.empty()) {
    mSilentSince = aNow;
  }
  if (mSilent.size() < kMinSilentEndpoints) {
    mSilent.insert(aEndpoint);
  }
  const std::size_t needed =
      std::clamp<std::size_t>(aEndpoints, 1, kMinSilentEndpoints);
  mIsLost = mIsLost ||
            (mSilent.size() >= needed && aNow - mSilentSince >= kMinSilence);
}

bool ReachTracker::IsReached(TimePoint aNow) const {
  return mHasAnswered && !mIsLost && aNow - mAnsweredAt <= kAnswerLifetime;
}

std::size_t ReachTracker::TakeChecks(TimePoint aNow) {
  const auto next = NextCheck();
  if (!next || aNow < *next) {
    return 0;
  }
  const bool isUrgent = !mIsLost && !mSilent.empty();
  mNextCheck = aNow + (isUrgent ? kCheckInterval : kSlowCheckInterval);
  return kProbesPerCheck;
}

std::optional<TimePoint> ReachTracker::NextCheck() const {
  if (!mIsLost && mSilent.empty() && !mIsChecked) {
    return std::nullopt;
  }
  return mNextCheck;
}

}  // namespace papayawheel
