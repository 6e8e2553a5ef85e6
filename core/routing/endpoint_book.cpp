#include "core/routing/endpoint_book.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace papayawheel {
namespace {

/** The calls of others in a report count half for a free slot after the time
 * of a typical call, but not after less than this. */
constexpr std::chrono::microseconds kLeastHalfLife{500};

/** First pause of an endpoint that fails; it doubles with each failure. */
constexpr std::chrono::milliseconds kFirstPause{50};
constexpr std::uint32_t kMostDoublings = 6;

/** Share of the current estimate by which one sample moves the median. */
constexpr double kMedianStep = 0.05;

/** Extra load that stands for the way to another data centre. */
constexpr double kDistancePenalty = 0.25;

/** A tie between endpoints is broken by a random part of this size. */
constexpr double kTieBreak = 0.01;

double ToSeconds(TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

}  // namespace

EndpointBook::EndpointBook(std::string aDataCentre, std::uint32_t aSeed)
    : mDataCentre(std::move(aDataCentre)), mRandom(aSeed) {}

void EndpointBook::Configure(const Service& aService, TimePoint aNow) {
  mSlots = aService.mSlotsPerEndpoint;
  std::map<std::string, EndpointState> next;
  for (const Endpoint& endpoint : aService.mEndpoints) {
    const auto known = mEndpoints.find(endpoint.mName);
    EndpointState state;
    if (known != mEndpoints.end() &&
        known->second.mEndpoint.mAddress == endpoint.mAddress) {
      state = known->second;
    } else {
      state.mReportedAt = aNow;
      state.mUsableFrom = aNow;
    }
    state.mEndpoint = endpoint;
    next.emplace(endpoint.mName, std::move(state));
  }
  mEndpoints = std::move(next);
}

std::optional<std::string> EndpointBook::Pick(
    const std::vector<std::string>& aExcluded, TimePoint aNow) {
  const Duration typical = TypicalTime();
  const auto hasRoom = [&](const EndpointState& aState) {
    return EstimateLoad(aState, typical, aNow) + 1 <= mSlots;
  };
  return PickWhere(aExcluded, hasRoom, typical, aNow);
}

std::optional<std::string> EndpointBook::PickIdle(
    const std::vector<std::string>& aExcluded, TimePoint aNow) {
  const auto isIdle = [this](const EndpointState& aState) {
    return 2 * (aState.mOwnInFlight + aState.mOthers + 1) <= mSlots;
  };
  return PickWhere(aExcluded, isIdle, TypicalTime(), aNow);
}

std::optional<std::string> EndpointBook::PickWhere(
    const std::vector<std::string>& aExcluded, const Condition& aHasRoom,
    Duration aTypical, TimePoint aNow) {
  const EndpointState* best = nullptr;
  double bestScore = 0;
  for (const auto& [name, state] : mEndpoints) {
    const bool excluded =
        std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
    if (excluded || !IsUsable(state, aNow) || !aHasRoom(state)) {
      continue;
    }
    const double tieBreak =
        std::uniform_real_distribution<double>(0, kTieBreak)(mRandom);
    const double score = ScoreOf(state, aTypical) + tieBreak;
    if (best == nullptr || score < bestScore) {
      best = &state;
      bestScore = score;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->mEndpoint.mName;
}

bool EndpointBook::HasUsable(TimePoint aNow) const {
  return std::any_of(
      mEndpoints.begin(), mEndpoints.end(),
      [&](const auto& aEntry) { return IsUsable(aEntry.second, aNow); });
}

void EndpointBook::Sent(const std::string& aName) {
  const auto found = mEndpoints.find(aName);
  if (found != mEndpoints.end()) {
    ++found->second.mOwnInFlight;
  }
}

void EndpointBook::Finished(const std::string& aName, EndpointResult aResult,
                            const std::optional<LoadReport>& aReport,
                            Duration aElapsed, TimePoint aNow) {
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
    state.mOthers = std::max(0.0, total - state.mOwnInFlight);
    state.mReportedAt = aNow;
    state.mDraining = aReport->mDraining;
  }
  switch (aResult) {
    case EndpointResult::Answered:
      state.mFailuresInRow = 0;
      NoteMedian(state, aElapsed);
      break;
    case EndpointResult::Shed:
      // A full endpoint may have no report; what it said is that all its
      // slots are taken.
      state.mOthers = std::max(
          state.mOthers, static_cast<double>(mSlots) - state.mOwnInFlight);
      state.mReportedAt = aNow;
      break;
    case EndpointResult::TimedOut:
      NoteMedian(state, aElapsed);
      break;
    case EndpointResult::NotConnected:
    case EndpointResult::Lost:
    case EndpointResult::Cut:
      NoteFailure(state, aNow);
      break;
  }
}

double EndpointBook::EstimateLoad(const EndpointState& aState,
                                  Duration aTypical, TimePoint aNow) const {
  const Duration halfLife = std::max<Duration>(kLeastHalfLife, aTypical);
  const double halfLives =
      ToSeconds(aNow - aState.mReportedAt) / ToSeconds(halfLife);
  return aState.mOwnInFlight + aState.mOthers * std::exp2(-halfLives);
}

Duration EndpointBook::TypicalTime() const {
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

bool EndpointBook::IsUsable(const EndpointState& aState, TimePoint aNow) const {
  return aState.mEndpoint.mState == NodeState::Live && !aState.mDraining &&
         aNow >= aState.mUsableFrom;
}

double EndpointBook::ScoreOf(const EndpointState& aState,
                             Duration aTypical) const {
  double score = aState.mOwnInFlight + aState.mOthers;
  if (aState.mEndpoint.mDataCentre != mDataCentre) {
    score += kDistancePenalty;
  }
  if (aState.mMedian > aTypical && aTypical.count() > 0) {
    // A call on a slow endpoint occupies its slot for longer.
    score = (score + 1) * (ToSeconds(aState.mMedian) / ToSeconds(aTypical)) - 1;
  }
  return score;
}

void EndpointBook::NoteFailure(EndpointState& aState, TimePoint aNow) const {
  const std::uint32_t doublings =
      std::min(aState.mFailuresInRow, kMostDoublings);
  ++aState.mFailuresInRow;
  aState.mUsableFrom = aNow + kFirstPause * (1U << doublings);
}

void EndpointBook::NoteMedian(EndpointState& aState, Duration aElapsed) {
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
