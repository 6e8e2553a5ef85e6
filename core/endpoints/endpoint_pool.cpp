#include "core/endpoints/endpoint_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Half-life of the service time factor in a report. */
constexpr milliseconds kServiceTimeFactorHalfLife{80};

/** Service time factor assumed before the first report. */
constexpr double kInitialServiceTimeFactor = 1.6;

/** Weight of the newest report in the averages over all endpoints. */
constexpr double kReportWeight = 0.05;

/** Age up to which a report counts as fresh. */
constexpr milliseconds kReportLifetime{12};

/** Age assumed for the report of an endpoint that has not reported yet. */
constexpr seconds kMissingReportAge{60};

constexpr double kMicrosPerSecond = 1e6;

/** Requests to an endpoint that is slower than this by its report, or by what
 * its answers show, say little of how load makes endpoints slower. */
constexpr double kMaxReportedFactor = 1.5;
constexpr double kMaxKnownSlowness = 3;

/** Time in which an endpoint usually answers a health check. */
constexpr milliseconds kHealthAnswerTime{12};

/** Weight of the newest sample and half-life of the estimates of slowness and
 * of the failure rate. */
constexpr double kSlownessWeight = 0.3;
constexpr milliseconds kSlownessHalfLife{1500};
constexpr double kMaxSlowness = 30;
constexpr double kFailureWeight = 0.25;
constexpr milliseconds kFailureHalfLife{2500};

/** Factor of the failure rate in the score: an endpoint whose attempts all fail
 * scores as if it took 1 + kFailurePenalty times as long. */
constexpr double kFailurePenalty = 6;

/** First pause of an endpoint that cannot be reached. It doubles with each
 * further failure, kMaxDoublings times at most. */
constexpr milliseconds kInitialPause{100};
constexpr std::uint32_t kMaxDoublings = 4;

/** An endpoint counts as idle up to this share of its slots in use, with the
 * next request, and as not slowed up to this slowdown and failure rate. */
constexpr double kMaxIdleShare = 0.5;
constexpr double kMaxIdleSlowdown = 1.5;
constexpr double kMaxIdleFailures = 0.1;

/** Maximum number of endpoints whose notices are stored. */
constexpr std::size_t kMaxNotices = 4096;

/** An endpoint in another data centre is selected only if the local ones take
 * longer by more than this share: traffic between data centres costs more than
 * a short wait. */
constexpr double kDistancePenalty = 0.7;

/** Estimates that differ by less than this share count as equal. Each host then
 * prefers endpoints of its own random choice, to which it already has
 * connections. */
constexpr double kMaxTieBreak = 0.08;

double ToSeconds(TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

Duration Since(TimePoint aThen, TimePoint aNow) {
  return std::chrono::duration_cast<Duration>(aNow - aThen);
}

/** Returns the earliest time after aNow at which an endpoint that is not
 * draining returns; nothing if none does.
 * @param aReturnsAt gives the time for the state of an endpoint. */
template <typename States, typename ReturnsAt>
std::optional<TimePoint> EarliestAfter(TimePoint aNow, const States& aStates,
                                       const ReturnsAt& aReturnsAt) {
  std::optional<TimePoint> first;
  for (const auto& [id, state] : aStates) {
    const TimePoint returnsAt = aReturnsAt(state);
    const bool returns = !state.mEntry.mDraining && !state.mDraining &&
                         !state.mEvacuation.IsEvacuated() && returnsAt > aNow;
    if (returns && (!first || returnsAt < *first)) {
      first = returnsAt;
    }
  }
  return first;
}

}  // namespace

std::string_view AttemptResultName(AttemptResult aResult) {
  switch (aResult) {
    case AttemptResult::Answered:
      return "answered";
    case AttemptResult::NotExecuted:
      return "not_executed";
    case AttemptResult::NotConnected:
      return "not_connected";
    case AttemptResult::Lost:
      return "lost";
    case AttemptResult::Garbled:
      return "garbled";
    case AttemptResult::TimedOut:
      return "timed_out";
    case AttemptResult::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

EndpointPool::EndpointPool(std::string aDataCentre, std::uint32_t aSeed)
    : mDataCentre(std::move(aDataCentre)),
      mRandom(aSeed),
      mMeanServiceTimeFactor(kInitialServiceTimeFactor) {}

void EndpointPool::Configure(const EndpointMap& aEntries,
                             const std::string& aService, TimePoint aNow,
                             const DataCentreSet& aEvacuated) {
  std::map<std::string, State> next;
  for (const auto& [id, entry] : aEntries) {
    if (entry.mService != aService) {
      continue;
    }
    const auto known = mEndpoints.find(id);
    const bool stays =
        known != mEndpoints.end() && IsSameStart(known->second.mEntry, entry);
    State state;
    if (stays) {
      state = std::move(known->second);
    } else {
      state.mReportedAt = aNow - kMissingReportAge;
      state.mServiceTimeFactor = mMeanServiceTimeFactor;
      state.mSlownessAt = aNow;
      state.mFailuresAt = aNow;
      state.mUsableFrom = aNow;
      state.mTieBreak =
          std::uniform_real_distribution<double>(0, kMaxTieBreak)(mRandom);
    }
    const bool isNewWarmUp =
        !stays || state.mEntry.mWarmUpRemaining != entry.mWarmUpRemaining;
    if (isNewWarmUp) {
      state.mWarmUpUntil = aNow + entry.mWarmUpRemaining;
    }
    state.mEntry = entry;
    if (isNewWarmUp) {
      state.mWarmUp.NotePublished(entry.mWarmUpRemaining, WarmUpContext(state),
                                  aNow);
    }
    const bool wasEvacuated = state.mEvacuation.IsEvacuated();
    state.mEvacuation.Update(aEvacuated.contains(entry.mDataCentre), !stays,
                             mRandom, aNow);
    if (wasEvacuated && !state.mEvacuation.IsEvacuated()) {
      state.mWarmUp.NoteUncertain(UncertainUntil(aNow), WarmUpContext(state),
                                  aNow);
    }
    if (!stays) {
      RestoreNotice(state, aNow);
    }
    next.emplace(id, std::move(state));
  }
  mEndpoints = std::move(next);
}

void EndpointPool::SetLimitSharers(const LimitSharers& aSharers,
                                   TimePoint aNow) {
  mLimitSharers = aSharers;
  for (auto& [id, state] : mEndpoints) {
    state.mLimit.UpdateShare(state.mEntry, mLimitSharers, mRandom, aNow);
  }
}

void EndpointPool::SetWarmUpRules(const WarmUpRules& aRules, TimePoint aNow) {
  if (aRules == mWarmUpRules) {
    return;
  }
  mWarmUpRules = aRules;
  for (auto& [id, state] : mEndpoints) {
    state.mWarmUp.UpdateShare(WarmUpContext(state), aNow);
  }
}

void EndpointPool::SetWarmUpSharers(const WarmUpSharers& aSharers,
                                    TimePoint aNow) {
  mWarmUpSharers = aSharers;
  for (auto& [id, state] : mEndpoints) {
    state.mWarmUp.UpdateShare(WarmUpContext(state), aNow);
  }
}

WarmUpLimit::Context EndpointPool::WarmUpContext(const State& aState) {
  return WarmUpLimit::Context{aState.mEntry.mId, mWarmUpRules.mPlanned,
                              mWarmUpSharers, mRandom};
}

TimePoint EndpointPool::UncertainUntil(TimePoint aNow) const {
  // Without health answers only the time can show that it is warm.
  return mWarmUpRules.mIsProbed ? TimePoint::max()
                                : aNow + mWarmUpRules.mPeriod;
}

void EndpointPool::NoteUnreachable(const std::string& aId, TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found != mEndpoints.end()) {
    State& state = found->second;
    state.mWarmUp.NoteUncertain(UncertainUntil(aNow), WarmUpContext(state),
                                aNow);
  }
}

bool EndpointPool::IsLimitedAsCold(const std::string& aId,
                                   TimePoint aNow) const {
  const auto found = mEndpoints.find(aId);
  return found != mEndpoints.end() && found->second.mWarmUp.IsLimited(aNow);
}

std::set<std::string> EndpointPool::ColdEndpoints(TimePoint aNow) const {
  std::set<std::string> cold;
  for (const auto& [id, state] : mEndpoints) {
    if (state.mWarmUp.IsLimited(aNow)) {
      cold.insert(id);
    }
  }
  return cold;
}

void EndpointPool::RestoreNotice(State& aState, TimePoint aNow) {
  const auto stored = mNotices.find(aState.mEntry.mId);
  if (stored != mNotices.end() &&
      IsSameStart(stored->second.mEntry, aState.mEntry)) {
    aState.mDraining = stored->second.mDraining;
    aState.mBackoffUntil = stored->second.mBackoffUntil;
    aState.mLimit = stored->second.mLimit;
    aState.mLimit.UpdateShare(aState.mEntry, mLimitSharers, mRandom, aNow);
  }
}

void EndpointPool::NoteNotice(const std::string& aId,
                              const EndpointNotice& aNotice, TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found == mEndpoints.end()) {
    return;
  }
  State& state = found->second;
  if (aNotice.mColdFor && !state.mEvacuation.IsEvacuated()) {
    state.mWarmUp.NoteAnswer(*aNotice.mColdFor, WarmUpContext(state), aNow);
  }
  const auto limitBefore = state.mLimit.Limit();
  state.mLimit.Note(state.mEntry, aNotice, mLimitSharers, mRandom, aNow);
  const bool isEmpty =
      !aNotice.mDraining && aNotice.mBackoff <= Duration::zero();
  if (isEmpty && state.mLimit.Limit() == limitBefore) {
    return;
  }
  state.mDraining = state.mDraining || aNotice.mDraining;
  state.mBackoffUntil =
      std::max<TimePoint>(state.mBackoffUntil, aNow + aNotice.mBackoff);
  if (!mNotices.contains(aId)) {
    EvictNotices(aNow);
  }
  mNotices[aId] = StoredNotice{state.mEntry, state.mDraining,
                               state.mBackoffUntil, state.mLimit};
}

void EndpointPool::EvictNotices(TimePoint aNow) {
  if (mNotices.size() < kMaxNotices) {
    return;
  }
  std::erase_if(mNotices, [&](const auto& aEntry) {
    return !aEntry.second.mDraining && aEntry.second.mBackoffUntil <= aNow &&
           !aEntry.second.mLimit.Limit();
  });
  // Unpublished endpoints are the least likely to return.
  for (auto it = mNotices.begin();
       it != mNotices.end() && mNotices.size() >= kMaxNotices;) {
    it = mEndpoints.contains(it->first) ? std::next(it) : mNotices.erase(it);
  }
}

EndpointPool::Ranked EndpointPool::Score(const State& aState, Duration aWork,
                                         TimePoint aNow) const {
  Ranked entry{&aState, 0, ExpectedSeconds(aState, aWork, aNow)};
  const double failures = Decayed(
      aState.mFailures, 0, Since(aState.mFailuresAt, aNow), kFailureHalfLife);
  entry.mScore = entry.mSeconds * (1 + kFailurePenalty * failures);
  if (aState.mEntry.mDataCentre != mDataCentre) {
    entry.mScore *= 1 + kDistancePenalty;
  }
  entry.mScore *= 1 + aState.mTieBreak;
  return entry;
}

std::vector<EndpointPool::Ranked> EndpointPool::Rank(
    Ranking aRanking, const std::vector<std::string>& aExcluded, Duration aWork,
    std::size_t aMaxCount, TimePoint aNow,
    const std::function<bool(const State&)>& aMatches) const {
  std::vector<Ranked> ranked;
  ranked.reserve(mEndpoints.size());
  for (const auto& [id, state] : mEndpoints) {
    if (IsUsable(state, aRanking, aExcluded, aNow) && aMatches(state)) {
      ranked.push_back(Score(state, aWork, aNow));
    }
  }
  const std::size_t count = std::min(aMaxCount, ranked.size());
  std::partial_sort(
      ranked.begin(),
      std::next(ranked.begin(), static_cast<std::ptrdiff_t>(count)),
      ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
        return aLeft.mScore < aRight.mScore;
      });
  ranked.resize(count);
  return ranked;
}

std::optional<EndpointPool::Choice> EndpointPool::Pick(
    const std::vector<std::string>& aExcluded, Duration aWork,
    TimePoint aNow) const {
  const std::vector<Ranked> ranked =
      Rank(Ranking::Requests, aExcluded, aWork, 1, aNow,
           [](const State&) { return true; });
  if (ranked.empty()) {
    return std::nullopt;
  }
  return MakeChoice(ranked.front(), aWork, aNow);
}

std::vector<EndpointPool::ScoreParts> EndpointPool::BestScores(
    const std::vector<std::string>& aExcluded, Duration aWork,
    std::size_t aMaxCount, TimePoint aNow) const {
  std::vector<ScoreParts> scores;
  for (const Ranked& entry :
       Rank(Ranking::Requests, aExcluded, aWork, aMaxCount, aNow,
            [](const State&) { return true; })) {
    const State& state = *entry.mState;
    const Choice choice = MakeChoice(entry, aWork, aNow);
    ScoreParts& parts = scores.emplace_back();
    parts.mId = choice.mId;
    parts.mAddress = choice.mAddress;
    parts.mDataCentre = state.mEntry.mDataCentre;
    parts.mScore = entry.mScore;
    parts.mExpected = choice.mExpected;
    parts.mLoadPerSlot = choice.mLoadPerSlot;
    parts.mSlowdown = choice.mSlowdown;
    parts.mDistanceFactor =
        state.mEntry.mDataCentre == mDataCentre ? 1 : 1 + kDistancePenalty;
    parts.mTieBreakFactor = 1 + state.mTieBreak;
    const double others =
        entry.mSeconds * parts.mDistanceFactor * parts.mTieBreakFactor;
    parts.mFailureFactor = others > 0 ? entry.mScore / others : 1;
    parts.mReportAge = Since(state.mReportedAt, aNow);
  }
  return scores;
}

std::optional<EndpointPool::Choice> EndpointPool::PickIdle(
    const std::vector<std::string>& aExcluded, Duration aWork,
    TimePoint aNow) const {
  const std::vector<Ranked> ranked = Rank(
      Ranking::Requests, aExcluded, aWork, 1, aNow,
      [&](const State& aState) { return IsKnownIdle(aState, aWork, aNow); });
  if (ranked.empty()) {
    return std::nullopt;
  }
  return MakeChoice(ranked.front(), aWork, aNow);
}

EndpointPool::Choice EndpointPool::MakeChoice(const Ranked& aRanked,
                                              Duration aWork,
                                              TimePoint aNow) const {
  const State& state = *aRanked.mState;
  Choice choice;
  choice.mId = state.mEntry.mId;
  choice.mAddress = state.mEntry.mAddress;
  choice.mExpected =
      Duration(static_cast<std::int64_t>(aRanked.mSeconds * kMicrosPerSecond));
  const double load = ExpectedLoad(state, aWork, aNow);
  const double slots = std::max<double>(1, state.mEntry.mSlots);
  choice.mLoadPerSlot = load / slots;
  choice.mSaturation = mSaturation.Factor(load, slots);
  choice.mSlowdown =
      aWork.count() == 0 ? 1 : aRanked.mSeconds / ToSeconds(aWork);
  if (state.mWarmUp.IsLimited(aNow) && IsWarmingUp(state, aNow)) {
    choice.mColdFactor = mSaturation.WarmUpFactor();
  }
  return choice;
}

bool EndpointPool::IsKnownIdle(const State& aState, Duration aWork,
                               TimePoint aNow) const {
  const double slots = std::max<double>(1, aState.mEntry.mSlots);
  const double load =
      aState.mOtherLoad + static_cast<double>(aState.mOwnAttempts.size());
  const double failures = Decayed(
      aState.mFailures, 0, Since(aState.mFailuresAt, aNow), kFailureHalfLife);
  return Since(aState.mReportedAt, aNow) <= kReportLifetime &&
         load + 1 <= std::max(1.0, kMaxIdleShare * slots) &&
         failures <= kMaxIdleFailures && aNow >= aState.mWarmUpUntil &&
         !aState.mWarmUp.IsLimited(aNow) && !aState.mEvacuation.IsEvacuated() &&
         Slowdown(aState, aWork, aNow) <= kMaxIdleSlowdown;
}

std::vector<EndpointPool::Candidate> EndpointPool::StaleCandidates(
    const std::vector<std::string>& aExcluded, Duration aWork,
    std::size_t aMaxCount, TimePoint aNow) const {
  std::vector<Candidate> candidates;
  const auto isWorthProbing = [&](const State& aState) {
    return Since(aState.mReportedAt, aNow) > kReportLifetime &&
           !IsKnownFull(aState, aWork, aNow);
  };
  std::vector<Ranked> ranked = Rank(Ranking::Requests, aExcluded, aWork,
                                    aMaxCount, aNow, isWorthProbing);
  // One at a time if others take requests, so that these are not delayed.
  const std::size_t uncertain =
      std::max<std::size_t>(1, aMaxCount - ranked.size());
  const auto asked = Rank(Ranking::HealthAnswers, aExcluded, aWork, uncertain,
                          aNow, isWorthProbing);
  ranked.insert(ranked.end(), asked.begin(), asked.end());
  candidates.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    candidates.push_back(
        Candidate{entry.mState->mEntry.mId, entry.mState->mEntry.mAddress});
  }
  return candidates;
}

std::vector<EndpointPool::Candidate> EndpointPool::RandomEndpoints(
    const std::set<std::string>& aLast, std::size_t aCount,
    std::minstd_rand& aRandom, TimePoint aNow) const {
  std::vector<Candidate> endpoints;
  for (const auto& [id, state] : mEndpoints) {
    if (AcceptsProbes(state, aNow)) {
      endpoints.push_back(Candidate{id, state.mEntry.mAddress});
    }
  }
  std::shuffle(endpoints.begin(), endpoints.end(), aRandom);
  std::stable_partition(endpoints.begin(), endpoints.end(),
                        [&aLast](const Candidate& aEndpoint) {
                          return !aLast.contains(aEndpoint.mId);
                        });
  endpoints.resize(std::min(aCount, endpoints.size()));
  return endpoints;
}

bool EndpointPool::IsFresh(const std::string& aId, TimePoint aNow) const {
  if (mLoadReporting != LoadReporting::Reported) {
    return mLoadReporting == LoadReporting::Missing;
  }
  const auto found = mEndpoints.find(aId);
  return found != mEndpoints.end() &&
         Since(found->second.mReportedAt, aNow) <= kReportLifetime;
}

void EndpointPool::NoteSample(const std::string& aId, const LoadSample& aSample,
                              TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found != mEndpoints.end()) {
    ApplySample(found->second, aSample, aNow);
  }
}

void EndpointPool::NoteUnansweredProbe(const std::string& aId, TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found != mEndpoints.end()) {
    NoteFailure(found->second, true, aNow);
  }
  NoteMissingReport();
}

void EndpointPool::NoteMissingReport() {
  if (mLoadReporting == LoadReporting::Unknown) {
    mLoadReporting = LoadReporting::Missing;
  }
}

void EndpointPool::ApplySample(State& aState, const LoadSample& aSample,
                               TimePoint aNow) {
  aState.mReportedLoad = aSample.mRunning + aSample.mQueued;
  aState.mOtherLoad =
      std::max(0.0, aState.mReportedLoad -
                        static_cast<double>(aState.mOwnAttempts.size()));
  aState.mServiceTimeFactor = aSample.mServiceTimeFactor;
  const double slots = std::max<double>(1, aState.mEntry.mSlots);
  mMeanOtherLoad +=
      (aState.mOtherLoad / slots - mMeanOtherLoad) * kReportWeight;
  mMeanServiceTimeFactor +=
      (aState.mServiceTimeFactor - mMeanServiceTimeFactor) * kReportWeight;
  aState.mFailuresInRow = 0;
  mLoadReporting = LoadReporting::Reported;
  aState.mReportedAt = aNow;
}

void EndpointPool::NoteAttemptStarted(const std::string& aId, TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found != mEndpoints.end()) {
    State& state = found->second;
    state.mOwnAttempts.push_back(MakeOwnAttempt(state, aNow));
    state.mLimit.NoteSent(aNow);
    state.mWarmUp.NoteSent(aNow);
  }
}

void EndpointPool::NoteAttemptEnded(const std::string& aId,
                                    AttemptResult aResult, bool aFailed,
                                    const std::optional<LoadSample>& aSample,
                                    Duration aWork, TimePoint aSentAt,
                                    TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found == mEndpoints.end()) {
    return;
  }
  State& state = found->second;
  const double expected = ExpectedSeconds(state, aWork, aNow) / state.mSlowness;
  const auto own =
      std::find_if(state.mOwnAttempts.begin(), state.mOwnAttempts.end(),
                   [aSentAt](const OwnAttempt& aAttempt) {
                     return aAttempt.mSentAt == aSentAt;
                   });
  if (own != state.mOwnAttempts.end()) {
    LearnFrom(*own, aResult, aFailed, aWork, aNow);
    state.mOwnAttempts.erase(own);
  }
  if (aSample) {
    ApplySample(state, *aSample, aNow);
  } else if (aResult == AttemptResult::Answered) {
    NoteMissingReport();
  }
  switch (aResult) {
    case AttemptResult::Answered:
      if (aFailed) {
        NoteFailure(state, false, aNow);
        break;
      }
      state.mFailuresInRow = 0;
      state.mFailures *= 1 - kFailureWeight;
      NoteResponseTime(state, expected, Since(aSentAt, aNow), aNow);
      break;
    case AttemptResult::NotExecuted:
      // The endpoint is full or reports that it is.
      NoteFailure(state, false, aNow);
      break;
    case AttemptResult::NotConnected:
      NoteFailure(state, true, aNow);
      NoteUnreachable(aId, aNow);
      break;
    case AttemptResult::Lost:
      // It may have crashed, and be cold when it runs again.
      NoteFailure(state, false, aNow);
      NoteUnreachable(aId, aNow);
      break;
    case AttemptResult::Garbled:
      NoteFailure(state, false, aNow);
      break;
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
      NoteResponseTime(state, expected, Since(aSentAt, aNow), aNow);
      break;
  }
}

EndpointPool::OwnAttempt EndpointPool::MakeOwnAttempt(const State& aState,
                                                      TimePoint aNow) const {
  OwnAttempt attempt;
  attempt.mSentAt = aNow;
  attempt.mReportedFactor = aState.mServiceTimeFactor;
  attempt.mIsWarmingUp = aNow < aState.mWarmUpUntil;
  const double slots = std::max<double>(1, aState.mEntry.mSlots);
  const double load =
      static_cast<double>(aState.mOwnAttempts.size()) + aState.mOtherLoad;
  const bool isKnown =
      mLoadReporting == LoadReporting::Reported &&
      Since(aState.mReportedAt, aNow) <= kReportLifetime && load + 1 <= slots &&
      aState.mServiceTimeFactor > 0 &&
      aState.mServiceTimeFactor <= kMaxReportedFactor &&
      Decayed(aState.mSlowness, 1, Since(aState.mSlownessAt, aNow),
              kSlownessHalfLife) <= kMaxKnownSlowness;
  if (isKnown) {
    attempt.mShare = (load + 1) / slots;
  }
  return attempt;
}

void EndpointPool::LearnFrom(const OwnAttempt& aAttempt, AttemptResult aResult,
                             bool aFailed, Duration aWork, TimePoint aNow) {
  if (!aAttempt.mShare || aWork.count() == 0) {
    return;
  }
  const double ratio = ToSeconds(aNow - aAttempt.mSentAt) /
                       (ToSeconds(aWork) * aAttempt.mReportedFactor);
  if (aResult == AttemptResult::Answered && !aFailed) {
    mSaturation.NoteAnswered(*aAttempt.mShare, ratio, aAttempt.mIsWarmingUp);
  } else if (aResult == AttemptResult::Cancelled ||
             aResult == AttemptResult::TimedOut) {
    mSaturation.NoteUnanswered(*aAttempt.mShare, ratio, aAttempt.mIsWarmingUp);
  }
}

bool EndpointPool::IsDraining(const std::string& aId) const {
  const auto found = mEndpoints.find(aId);
  return found != mEndpoints.end() &&
         (found->second.mEntry.mDraining || found->second.mDraining);
}

bool EndpointPool::IsEvacuated(const std::string& aId) const {
  const auto found = mEndpoints.find(aId);
  return found != mEndpoints.end() && found->second.mEvacuation.IsEvacuated();
}

bool EndpointPool::IsEvacuated() const {
  return !mEndpoints.empty() &&
         std::all_of(mEndpoints.begin(), mEndpoints.end(),
                     [](const auto& aEndpoint) {
                       const State& state = aEndpoint.second;
                       return state.mEvacuation.IsEvacuated() ||
                              state.mEntry.mDraining || state.mDraining;
                     }) &&
         std::any_of(mEndpoints.begin(), mEndpoints.end(),
                     [](const auto& aEndpoint) {
                       return aEndpoint.second.mEvacuation.IsEvacuated();
                     });
}

std::size_t EndpointPool::CountUsable(const std::vector<std::string>& aExcluded,
                                      TimePoint aNow) const {
  return static_cast<std::size_t>(std::count_if(
      mEndpoints.begin(), mEndpoints.end(), [&](const auto& aEntry) {
        return IsUsable(aEntry.second, Ranking::Requests, aExcluded, aNow);
      }));
}

std::optional<TimePoint> EndpointPool::EarliestBackoffEnd(
    TimePoint aNow) const {
  return EarliestAfter(aNow, mEndpoints, [](const State& aState) {
    return aState.mBackoffUntil;
  });
}

std::optional<TimePoint> EndpointPool::EarliestReturn(TimePoint aNow) const {
  return EarliestAfter(aNow, mEndpoints, [&](const State& aState) {
    return std::max({aState.mBackoffUntil, aState.mLimit.NextAt(),
                     aState.mEvacuation.ResumesAt(),
                     WarmUpReturn(aState, aNow)});
  });
}

bool EndpointPool::IsKnownFull(const State& aState, Duration aWork,
                               TimePoint aNow) const {
  const double slots = std::max<double>(1, aState.mEntry.mSlots);
  const double excess = aState.mReportedLoad + 1 - slots;
  const double seconds =
      ToSeconds(aWork) * aState.mServiceTimeFactor * excess / slots;
  return ToSeconds(aNow - aState.mReportedAt) < seconds;
}

bool EndpointPool::AcceptsProbes(const State& aState, TimePoint aNow) {
  return !aState.mEntry.mDraining && !aState.mDraining &&
         aState.mEvacuation.Accepts(aNow) && aNow >= aState.mBackoffUntil &&
         aNow >= aState.mLimit.NextAt();
}

bool EndpointPool::AcceptsWork(const State& aState, TimePoint aNow) {
  return AcceptsProbes(aState, aNow) && aNow >= aState.mWarmUp.NextAt(aNow);
}

bool EndpointPool::AwaitsHealthAnswer(const State& aState,
                                      TimePoint aNow) const {
  return mWarmUpRules.mIsProbed && aState.mWarmUp.IsLimited(aNow) &&
         aState.mWarmUp.IsUncertain(aNow);
}

bool EndpointPool::IsWarmingUp(const State& aState, TimePoint aNow) const {
  if (!mWarmUpRules.mPlanned) {
    return aNow < aState.mWarmUpUntil;
  }
  return aState.mWarmUp.IsCold(aNow) &&
         (aNow < aState.mWarmUpUntil || !aState.mWarmUp.IsUncertain(aNow));
}

TimePoint EndpointPool::WarmUpReturn(const State& aState,
                                     TimePoint aNow) const {
  if (!aState.mWarmUp.IsLimited(aNow)) {
    return TimePoint::min();
  }
  const TimePoint next =
      std::max(aState.mWarmUp.NextAt(aNow), aState.mUsableFrom);
  const bool isProbedNext = AwaitsHealthAnswer(aState, aNow) &&
                            AcceptsProbes(aState, aNow) &&
                            aNow >= aState.mUsableFrom;
  return isProbedNext ? std::min<TimePoint>(next, aNow + kHealthAnswerTime)
                      : next;
}

bool EndpointPool::IsUsable(const State& aState, Ranking aRanking,
                            const std::vector<std::string>& aExcluded,
                            TimePoint aNow) const {
  const bool excluded = std::find(aExcluded.begin(), aExcluded.end(),
                                  aState.mEntry.mId) != aExcluded.end();
  const bool accepts = aRanking == Ranking::Requests
                           ? AcceptsWork(aState, aNow)
                           : AwaitsHealthAnswer(aState, aNow) &&
                                 AcceptsProbes(aState, aNow) &&
                                 !AcceptsWork(aState, aNow);
  return !excluded && accepts && aNow >= aState.mUsableFrom;
}

double EndpointPool::ExpectedLoad(const State& aState, Duration aWork,
                                  TimePoint aNow) const {
  const double mean = mMeanOtherLoad * aState.mEntry.mSlots;
  const double others =
      Decayed(aState.mOtherLoad, mean, Since(aState.mReportedAt, aNow),
              std::max<Duration>(aWork, milliseconds(20)));
  return static_cast<double>(aState.mOwnAttempts.size()) + others;
}

double EndpointPool::Slowdown(const State& aState, Duration aWork,
                              TimePoint aNow) const {
  const Duration age = Since(aState.mReportedAt, aNow);
  double factor = Decayed(aState.mServiceTimeFactor, mMeanServiceTimeFactor,
                          age, kServiceTimeFactorHalfLife);
  factor *= Decayed(aState.mSlowness, 1, Since(aState.mSlownessAt, aNow),
                    kSlownessHalfLife);
  if (IsWarmingUp(aState, aNow)) {
    factor *= mSaturation.WarmUpFactor();
  }
  if (!aState.mOwnAttempts.empty() && aWork.count() > 0) {
    // A request that is overdue is stronger evidence than any report.
    const double waited = ToSeconds(aNow - aState.mOwnAttempts.front().mSentAt);
    factor = std::max(factor, waited / (2 * ToSeconds(aWork)));
  }
  return factor;
}

double EndpointPool::ExpectedSeconds(const State& aState, Duration aWork,
                                     TimePoint aNow) const {
  const double load = ExpectedLoad(aState, aWork, aNow);
  const double slots = std::max<double>(1, aState.mEntry.mSlots);
  double work = ToSeconds(aWork) * Slowdown(aState, aWork, aNow);
  work *= mSaturation.Factor(load, slots);
  const double waiting = std::max(0.0, load + 1 - slots) / slots;
  return work * (1 + waiting);
}

double EndpointPool::Decayed(double aValue, double aTowards, Duration aAge,
                             Duration aHalfLife) {
  if (aValue == aTowards) {
    return aTowards;
  }
  const double halfLives = ToSeconds(aAge) / ToSeconds(aHalfLife);
  return aTowards + (aValue - aTowards) * std::exp2(-halfLives);
}

void EndpointPool::NoteResponseTime(State& aState, double aExpected,
                                    Duration aElapsed, TimePoint aNow) {
  if (aExpected <= 0) {
    return;
  }
  const double ratio =
      std::clamp(ToSeconds(aElapsed) / aExpected, 0.5, kMaxSlowness);
  const double known = Decayed(
      aState.mSlowness, 1, Since(aState.mSlownessAt, aNow), kSlownessHalfLife);
  aState.mSlowness = std::max(1.0, known + (ratio - known) * kSlownessWeight);
  aState.mSlownessAt = aNow;
}

void EndpointPool::NoteFailure(State& aState, bool aUnreachable,
                               TimePoint aNow) {
  const double known = Decayed(
      aState.mFailures, 0, Since(aState.mFailuresAt, aNow), kFailureHalfLife);
  aState.mFailures = known + (1 - known) * kFailureWeight;
  aState.mFailuresAt = aNow;
  ++aState.mFailuresInRow;
  if (aUnreachable) {
    const std::uint32_t doublings =
        std::min(aState.mFailuresInRow - 1, kMaxDoublings);
    aState.mUsableFrom = aNow + kInitialPause * (1U << doublings);
  }
}

}  // namespace papayawheel
