#include "core/routing/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace papayawheel {
namespace {

/** Lower bound of the half-life of the calls of other hosts in a report. The
 * half-life is otherwise the median time of a call. */
constexpr std::chrono::microseconds kMinHalfLife{500};

/** Number of probes that one host may send to one endpoint at once. */
constexpr double kProbeBurst = 1;

/** First pause of an endpoint after a failure. It doubles with each further
 * failure in a row, kMaxDoublings times at most. */
constexpr std::chrono::milliseconds kInitialPause{50};
constexpr std::uint32_t kMaxDoublings = 6;

/** Share of the current median estimate by which one sample moves it. */
constexpr double kMedianStep = 0.05;

/** While the service is mostly idle, reports older than this are ignored, so
 * that a busy endpoint is called again and can report that it drains. */
constexpr std::chrono::milliseconds kReportMaxAge{300};

/** An endpoint counts as slow if its median time exceeds the overall one by
 * more than this factor. Medians of equally fast endpoints differ by less. */
constexpr double kSlowRatio = 1.15;

/** Load added to endpoints in another data centre for the longer distance. */
constexpr double kDistancePenalty = 0.25;

/** Upper bound of the random load that breaks ties between endpoints. */
constexpr double kMaxTieBreak = 0.01;

double ToSeconds(TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

}  // namespace

EndpointSelector::EndpointSelector(std::string aDataCentre, std::uint32_t aSeed)
    : mDataCentre(std::move(aDataCentre)), mRandom(aSeed) {}

void EndpointSelector::Configure(const Service& aService, std::size_t aHosts,
                                 TimePoint aNow) {
  mSlots = aService.mSlotsPerEndpoint;
  const double probes =
      aHosts == 0 ? 0 : aService.mProbesPerSecond / static_cast<double>(aHosts);
  std::map<std::string, EndpointState> next;
  for (const Endpoint& endpoint : aService.mEndpoints) {
    const auto known = mEndpoints.find(endpoint.mName);
    const bool stays = known != mEndpoints.end() &&
                       known->second.mEndpoint.mAddress == endpoint.mAddress;
    EndpointState state = stays ? known->second : EndpointState(aNow);
    state.mEndpoint = endpoint;
    state.mProbes.SetLimits(probes, kProbeBurst, aNow);
    next.emplace(endpoint.mName, std::move(state));
  }
  mEndpoints = std::move(next);
}

std::optional<std::string> EndpointSelector::Pick(
    const std::vector<std::string>& aExcluded, TimePoint aNow) {
  const Duration medianTime = MedianCallTime();
  const auto hasRoom = [&](const EndpointState& aState) {
    if (!IsReportedFull(aState)) {
      return true;
    }
    return EstimateLoad(aState, medianTime, aNow) + 1 <= mSlots &&
           aState.mProbes.UntilNext(aNow) == Duration::zero();
  };
  EndpointState* const best = PickWhere(aExcluded, hasRoom, medianTime, aNow);
  if (best == nullptr) {
    return std::nullopt;
  }
  if (IsReportedFull(*best)) {
    best->mProbes.TryTake(aNow);
    ++mProbes;
  }
  return best->mEndpoint.mName;
}

std::optional<std::string> EndpointSelector::PickIdle(
    const std::vector<std::string>& aExcluded, TimePoint aNow) {
  const auto isIdle = [this](const EndpointState& aState) {
    return 2 * (aState.mOwnInFlight + aState.mOtherInFlight + 1) <= mSlots;
  };
  const EndpointState* const best =
      PickWhere(aExcluded, isIdle, MedianCallTime(), aNow);
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->mEndpoint.mName;
}

EndpointState* EndpointSelector::PickWhere(
    const std::vector<std::string>& aExcluded, const Condition& aHasRoom,
    Duration aMedianTime, TimePoint aNow) {
  const TimePoint oldest =
      IsMostlyIdle(aNow) ? aNow - kReportMaxAge : TimePoint::min();
  EndpointState* best = nullptr;
  double bestScore = 0;
  for (auto& [name, state] : mEndpoints) {
    const bool excluded =
        std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
    if (excluded || !IsUsable(state, aNow) || !aHasRoom(state)) {
      continue;
    }
    const double tieBreak =
        std::uniform_real_distribution<double>(0, kMaxTieBreak)(mRandom);
    const double score = ScoreOf(state, aMedianTime, oldest) + tieBreak;
    if (best == nullptr || score < bestScore) {
      best = &state;
      bestScore = score;
    }
  }
  return best;
}

bool EndpointSelector::IsReportedFull(const EndpointState& aState) const {
  return aState.mOwnInFlight + aState.mOtherInFlight + 1 > mSlots;
}

void EndpointSelector::NoteAttemptStarted(const std::string& aName) {
  const auto found = mEndpoints.find(aName);
  if (found != mEndpoints.end()) {
    ++found->second.mOwnInFlight;
  }
}

void EndpointSelector::NoteAttemptEnded(
    const std::string& aName, EndpointResult aResult,
    const std::optional<LoadReport>& aReport, Duration aElapsed,
    TimePoint aNow) {
  const auto found = mEndpoints.find(aName);
  if (found == mEndpoints.end()) {
    return;
  }
  EndpointState& state = found->second;
  if (state.mOwnInFlight > 0) {
    --state.mOwnInFlight;
  }
  if (aReport) {
    const double total = aReport->mRunning + aReport->mQueued;
    state.mOtherInFlight = std::max(0.0, total - state.mOwnInFlight);
    state.mReportedAt = aNow;
    state.mDraining = aReport->mDraining;
  }
  switch (aResult) {
    case EndpointResult::Answered:
      state.mFailuresInRow = 0;
      UpdateMedian(state, aElapsed);
      break;
    case EndpointResult::Shed:
      // A refusal may carry no report; it means that all slots are taken.
      state.mOtherInFlight =
          std::max(state.mOtherInFlight,
                   static_cast<double>(mSlots) - state.mOwnInFlight);
      state.mReportedAt = aNow;
      break;
    case EndpointResult::TimedOut:
      UpdateMedian(state, aElapsed);
      break;
    case EndpointResult::NotConnected:
    case EndpointResult::Lost:
    case EndpointResult::Cut:
      NoteFailure(state, aNow);
      break;
  }
}

double EndpointSelector::EstimateLoad(const EndpointState& aState,
                                      Duration aMedianTime,
                                      TimePoint aNow) const {
  const Duration halfLife = std::max<Duration>(kMinHalfLife, aMedianTime);
  const double halfLives =
      ToSeconds(aNow - aState.mReportedAt) / ToSeconds(halfLife);
  return aState.mOwnInFlight + aState.mOtherInFlight * std::exp2(-halfLives);
}

Duration EndpointSelector::MedianCallTime() const {
  std::vector<Duration> medians;
  for (const auto& [name, state] : mEndpoints) {
    if (state.mMedian.count() > 0) {
      medians.push_back(state.mMedian);
    }
  }
  if (medians.empty()) {
    return Duration::zero();
  }
  const auto middle =
      medians.begin() + static_cast<std::ptrdiff_t>(medians.size() / 2);
  std::nth_element(medians.begin(), middle, medians.end());
  return *middle;
}

bool EndpointSelector::IsUsable(const EndpointState& aState,
                                TimePoint aNow) const {
  return aState.mEndpoint.mState == NodeState::Live && !aState.mDraining &&
         aNow >= aState.mUsableFrom;
}

bool EndpointSelector::IsMostlyIdle(TimePoint aNow) const {
  std::size_t usable = 0;
  std::size_t idle = 0;
  for (const auto& [name, state] : mEndpoints) {
    if (IsUsable(state, aNow)) {
      ++usable;
      idle += state.mOwnInFlight + state.mOtherInFlight < 1 ? 1 : 0;
    }
  }
  return 2 * idle >= usable;
}

double EndpointSelector::ScoreOf(const EndpointState& aState,
                                 Duration aMedianTime,
                                 TimePoint aOldestReport) const {
  double score = aState.mOwnInFlight;
  if (aState.mReportedAt >= aOldestReport) {
    score += aState.mOtherInFlight;
  }
  if (aState.mEndpoint.mDataCentre != mDataCentre) {
    score += kDistancePenalty;
  }
  const double ratio = aMedianTime.count() > 0
                           ? ToSeconds(aState.mMedian) / ToSeconds(aMedianTime)
                           : 1;
  if (ratio > kSlowRatio) {
    // A call to a slow endpoint occupies its slot for longer.
    score = (score + 1) * ratio - 1;
  }
  return score;
}

void EndpointSelector::NoteFailure(EndpointState& aState,
                                   TimePoint aNow) const {
  const std::uint32_t doublings =
      std::min(aState.mFailuresInRow, kMaxDoublings);
  ++aState.mFailuresInRow;
  aState.mUsableFrom = aNow + kInitialPause * (1U << doublings);
}

void EndpointSelector::UpdateMedian(EndpointState& aState, Duration aElapsed) {
  if (aState.mMedian.count() == 0) {
    aState.mMedian = aElapsed;
    return;
  }
  const double step =
      std::max(1.0, static_cast<double>(aState.mMedian.count()) * kMedianStep);
  const auto micros = static_cast<std::int64_t>(step);
  aState.mMedian += Duration(aElapsed > aState.mMedian ? micros : -micros);
  aState.mMedian = std::max(aState.mMedian, Duration(1));
}

}  // namespace papayawheel
