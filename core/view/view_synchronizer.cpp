#include "core/view/view_synchronizer.h"

#include <algorithm>
#include <utility>

#include "core/view/reading_turns.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How long a watch may wait in the store for a change. It is given up before
 * if nobody confirms the view. */
constexpr milliseconds kWatchTimeout{6000};

/** The same for the confirmer, so that the store confirms the fleet's view at
 * this interval. */
constexpr milliseconds kConfirmationInterval{900};

/** The same while removed entries may have expired, so that the time of a
 * removal is known closely. Other hosts are told of a confirmation only if the
 * last one that they were told is kMinBroadcastInterval ago. */
constexpr milliseconds kExpiryWatchTimeout{200};
constexpr milliseconds kMinBroadcastInterval{800};

/** The timeout of a watch after a failed call, or when the store has not
 * answered this host recently. A lost call blocks the next one for its whole
 * timeout, so a short timeout detects a recovered store sooner. */
constexpr milliseconds kShortWatchTimeout{10};

/** Delay before the next watch after a change, so that changes in quick
 * succession are fetched in one call. */
constexpr milliseconds kChangeBatchDelay{200};

/** Time after the start for which a host relies on other hosts for its first
 * view before it reads the store by itself. */
constexpr milliseconds kStartGrace{1200};

/** Minimum delay of the first store call, so that the host can learn from its
 * seeds first. The second value applies when the whole fleet starts for the
 * first time. A random time of up to the same length is added. */
constexpr milliseconds kFirstReadDelay{60};
constexpr milliseconds kFirstFleetStartDelay{900};

/** Age of the last confirmation from which a host that is not the confirmer
 * asks other hosts for a new one. The interval between such questions grows
 * from the first value to the second. */
constexpr milliseconds kAskHostsAge{1000};
constexpr milliseconds kMinQueryInterval{250};
constexpr milliseconds kMaxQueryInterval{1000};

/** Minimum delay before a failed store call is retried. For other hosts than
 * readers it grows by the same again for each kRanksPerRetryDelay hosts before
 * them, so that the calls of a fleet whose store is away hardly grow with it. A
 * random time of up to the same length is added. */
constexpr milliseconds kRetryDelay{300};
constexpr std::size_t kRanksPerRetryDelay = 8;

/** Maximum delay of the full read after an answer that does not lead on from
 * the view. */
constexpr milliseconds kMaxRepeatedReadDelay{50};

/** After a suspension the host reads the store by itself within this time,
 * since confirmations of others may be older than the suspension. */
constexpr milliseconds kResumeReadSpread{50};

/** An invalidated view that nobody can confirm is used again after this time,
 * so that a host that is cut off from all others still serves its callers. */
constexpr seconds kMaxInvalidTime{3};

/** Assumed send rate of views to other hosts, in uncompressed bytes per second.
 * The slowest links have 10 Mbit/s, and compression reduces the data to a third
 * or less. */
constexpr double kSendBytesPerSecond = 3 * 10e6 / 8;

/** Pulls are refused while the data of earlier pulls takes longer than this to
 * send. A refused host pulls from another host that has the changes by then. */
constexpr milliseconds kMaxSendBacklog{120};

/** Removals that the store has lost stay in force for this time. By then the
 * store has dropped the entries whose writers are gone, as they do not renew
 * them. */
constexpr seconds kLostRemovalPeriod{10};

/** Maximum number of alternative sources that are kept during a pull. */
constexpr std::size_t kMaxPullSources = 4;

}  // namespace

ViewSynchronizer::ViewSynchronizer(TimePoint aNow, std::uint32_t aSeed,
                                   bool aIsFirstStart,
                                   WriteOrderReader aReadOrder)
    : mView(std::move(aReadOrder)),
      mRandom(aSeed),
      mStartedAt(aNow),
      mInvalidatedAt(aNow),
      mNextCall(aNow) {
  const Duration delay =
      aIsFirstStart ? kFirstFleetStartDelay : kFirstReadDelay;
  mNextCall += delay + Jitter(delay);
}

ViewActions ViewSynchronizer::Tick(const ReaderDuty& aDuty, TimePoint aNow) {
  ViewActions actions;
  const bool becomesReader =
      mDuty.mRole == ReaderRole::None && aDuty.mRole != ReaderRole::None;
  if (becomesReader && mView.IsLoaded()) {
    mNextCall = std::min<TimePoint>(mNextCall, aNow + Jitter(kRetryDelay));
  }
  mDuty = aDuty;
  if (mHasUnconfirmedRemovals && aNow >= ExpiriesUntil(aNow)) {
    mHasUnconfirmedRemovals = false;
    mView.ConfirmRemovals();
  }
  AskIfOld(aNow, actions);
  const bool needsOwnRead = aNow > OwnReadAt();
  if (needsOwnRead && CanGiveUpWatch()) {
    mStoreCallPending = false;
    mNextCall = aNow;
    actions.emplace_back(CancelStoreCall{});
  }
  if (mStoreCallPending || aNow < mNextCall ||
      (aDuty.mRole == ReaderRole::None && !needsOwnRead)) {
    return actions;
  }
  mStoreCallPending = true;
  mStoreCallAt = aNow;
  if (mNeedsFullRead) {
    mWatchWait = Duration::zero();
    actions.emplace_back(ReadStore{});
    return actions;
  }
  const auto wait =
      std::chrono::duration_cast<milliseconds>(NextWatchWait(aNow));
  mWatchWait = wait;
  actions.emplace_back(WatchStore{mView.AsOf(), wait});
  return actions;
}

void ViewSynchronizer::AskIfOld(TimePoint aNow, ViewActions& aActions) {
  const bool isOld = !mConfirmed || aNow - mConfirmed->mAt > kAskHostsAge;
  if (!isOld || IsConfirmer()) {
    mQueryInterval = kMinQueryInterval;
    return;
  }
  if (aNow < mNextQuery) {
    return;
  }
  mNextQuery = aNow + mQueryInterval + Jitter(mQueryInterval);
  mQueryInterval = std::min<Duration>(2 * mQueryInterval, kMaxQueryInterval);
  aActions.emplace_back(AskHosts{});
}

bool ViewSynchronizer::CanGiveUpWatch() const {
  return mStoreCallPending && mDuty.mRole == ReaderRole::Watcher &&
         mWatchWait > kMaxConfirmationAge;
}

bool ViewSynchronizer::StandsInForConfirmer() const {
  return mDuty.mRole == ReaderRole::None && mConfirmed &&
         mConfirmed->mSource.empty();
}

TimePoint ViewSynchronizer::OwnReadAt() const {
  const Duration turn = TurnOf(mDuty.mRank);
  if (!mConfirmed) {
    return mStartedAt + kStartGrace + turn;
  }
  return mConfirmed->mAt + (StandsInForConfirmer()
                                ? Duration(kConfirmationInterval)
                                : kMaxConfirmationAge + turn);
}

Duration ViewSynchronizer::NextWatchWait(TimePoint aNow) const {
  const bool mayBeUnreachable = mFailures > 0 || !mAnsweredAt ||
                                aNow - *mAnsweredAt > kMaxConfirmationAge;
  if (mayBeUnreachable || mDuty.mRole == ReaderRole::None) {
    return kShortWatchTimeout;
  }
  if (!IsConfirmer()) {
    return kWatchTimeout;
  }
  if (aNow < ExpiriesUntil(aNow)) {
    return kExpiryWatchTimeout;
  }
  // An answer that was not told to the others does not delay the next one.
  const TimePoint last = mConfirmed ? mConfirmed->mAt : aNow;
  const TimePoint due =
      std::min(last, mBroadcastAt.value_or(last)) + kConfirmationInterval;
  return std::clamp<Duration>(std::chrono::duration_cast<Duration>(due - aNow),
                              kShortWatchTimeout, kConfirmationInterval);
}

bool ViewSynchronizer::ShouldBroadcastConfirmation(TimePoint aNow) {
  if (mDuty.mRole == ReaderRole::None && !StandsInForConfirmer()) {
    return false;
  }
  // The confirmer keeps its interval, also while another host stands in for it.
  const auto& last = IsConfirmer() ? mBroadcastAt : mFleetToldAt;
  const Duration interval =
      IsConfirmer() ? kMinBroadcastInterval : kAskHostsAge;
  if (last && aNow - *last < interval) {
    return false;
  }
  mBroadcastAt = aNow;
  mFleetToldAt = aNow;
  return true;
}

TimePoint ViewSynchronizer::NextDue(TimePoint aNow) const {
  TimePoint call = aNow + kWatchTimeout;
  if (!mStoreCallPending) {
    call = mDuty.mRole == ReaderRole::None ? std::max(mNextCall, OwnReadAt())
                                           : mNextCall;
  } else if (CanGiveUpWatch()) {
    call = OwnReadAt();
  }
  TimePoint query = TimePoint::max();
  if (!IsConfirmer() && mConfirmed) {
    query = std::max<TimePoint>(mConfirmed->mAt + kAskHostsAge, mNextQuery);
  }
  return std::max(std::min(call, query), aNow);
}

bool ViewSynchronizer::IsStoreFailing() const {
  // One lost call of a host that rarely calls the store says little.
  const std::uint32_t allowed = mDuty.mRole == ReaderRole::None ? 1 : 0;
  return mFailures > allowed;
}

ViewActions ViewSynchronizer::NotePeerSummary(
    const std::string& aControlAddress, const ViewSummary& aSummary,
    TimePoint aArrivedAfter, TimePoint aNow) {
  ViewActions actions;
  if (aSummary.mNewest == 0) {
    return actions;
  }
  if (aSummary.mAge) {
    const TimePoint answeredAt = aNow - *aSummary.mAge;
    mAvailability.NoteAvailable(aSummary.mEra, {answeredAt, answeredAt});
  }
  const bool isSameEra = aSummary.mEra == mView.Era();
  const bool isOld = aSummary.mEra < mView.Era() ||
                     (isSameEra && aSummary.mAsOf < mView.Newest());
  if (mView.IsLoaded() && isOld) {
    return actions;
  }
  // No change lies between the newest one of a view and the revision up to
  // which it is complete. So the views are equal if neither lacks the newest of
  // the other.
  const bool isEqual =
      mView.IsLoaded() && isSameEra && aSummary.mNewest <= mView.AsOf();
  if (isEqual) {
    mView.Advance(aSummary.mAsOf);
    if (aSummary.mAge) {
      Confirm({aArrivedAfter - *aSummary.mAge, aSummary.mConfirmation,
               aControlAddress});
    }
    if (!HasOtherLostChanges(aSummary)) {
      return actions;
    }
  } else if (aSummary.mAge &&
             aArrivedAfter - *aSummary.mAge >= mAnnounced.mAt) {
    mAnnouncedNewest = aSummary.mNewest;
    mAnnouncedEra = aSummary.mEra;
    mAnnounced = {aArrivedAfter - *aSummary.mAge, aSummary.mConfirmation,
                  aControlAddress};
  }
  const bool mayHang = aNow - mPullAt > kMaxPullWait;
  if (mPulls == 0 || (mayHang && aControlAddress != mPullSource)) {
    actions.emplace_back(PullFrom(aControlAddress, aNow));
    return actions;
  }
  std::erase(mOtherSources, aControlAddress);
  mOtherSources.push_back(aControlAddress);
  if (mOtherSources.size() > kMaxPullSources) {
    mOtherSources.erase(mOtherSources.begin());
  }
  return actions;
}

PullView ViewSynchronizer::PullFrom(const std::string& aControlAddress,
                                    TimePoint aNow) {
  // With several pulls under way, each answer is dated by the first of them.
  mPullAt = mPulls > 0 ? mPullAt : aNow;
  ++mPulls;
  mPullSource = aControlAddress;
  std::erase(mOtherSources, aControlAddress);
  return PullView{aControlAddress, mView.Era(),
                  mView.IsLoaded() ? mView.AsOf() : 0};
}

bool ViewSynchronizer::HasOtherLostChanges(const ViewSummary& aSummary) const {
  return aSummary.mLostDigest != 0 &&
         aSummary.mLostDigest != mView.LostDigest() &&
         !mPulledLost.contains(aSummary.mLostDigest);
}

std::vector<StoreChange> ViewSynchronizer::Apply(const StoreDelta& aDelta,
                                                 TimePoint aNow) {
  const bool wasLoaded = mView.IsLoaded();
  const std::uint64_t before = mView.Era();
  mUsableUntil = mAvailability.UsableUntil(mCompleteAt, aNow);
  const bool mayHaveExpired = mUsableUntil > aNow;
  std::vector<StoreChange> changes = mView.Apply(aDelta, mayHaveExpired);
  mHasUnconfirmedRemovals = mHasUnconfirmedRemovals || mayHaveExpired;
  if (wasLoaded && mView.Era() != before) {
    mPulledLost.clear();
    mLostRemovalsUntil.reset();
  }
  if (!aDelta.mLost.empty()) {
    mPulledLost.insert(DigestOf(aDelta.mLost));
  }
  if (!mLostRemovalsUntil && !mView.Lost().empty()) {
    mLostRemovalsUntil = aNow + kLostRemovalPeriod;
  }
  return changes;
}

std::vector<StoreChange> ViewSynchronizer::ExpireLostRemovals(TimePoint aNow) {
  if (!mLostRemovalsUntil || aNow < *mLostRemovalsUntil) {
    return {};
  }
  mLostRemovalsUntil.reset();
  return mView.DropLostRemovals();
}

ViewActions ViewSynchronizer::PullFromNextSource(TimePoint aNow) {
  ViewActions actions;
  if (mPulls == 0 && !mOtherSources.empty()) {
    const std::string source = mOtherSources.back();
    actions.emplace_back(PullFrom(source, aNow));
  }
  return actions;
}

std::vector<StoreChange> ViewSynchronizer::FinishPull(
    const std::optional<ViewTransfer>& aTransfer, TimePoint aNow) {
  // After a suspension, pulls from before it may end as well.
  mPulls -= std::min<std::size_t>(mPulls, 1);
  if (!aTransfer || (!aTransfer->mDelta.mFull && !mView.IsLoaded())) {
    return {};
  }
  // Before the changes are applied, as they are judged by it.
  NoteAvailability(*aTransfer, aNow);
  const StoreDelta& delta = aTransfer->mDelta;
  std::vector<StoreChange> changes = Apply(delta, aNow);
  if (delta.mEra == mView.Era()) {
    mNeedsFullRead = false;
    if (aTransfer->mAge) {
      // The age was that of the moment when the other host answered.
      Confirm(
          {mPullAt - *aTransfer->mAge, aTransfer->mConfirmation, mPullSource});
    }
  }
  ConfirmAnnounced();
  if (mAnnouncedNewest == 0) {
    mOtherSources.clear();
  }
  return changes;
}

void ViewSynchronizer::NoteAvailability(const ViewTransfer& aTransfer,
                                        TimePoint aNow) {
  const std::uint64_t era = aTransfer.mDelta.mEra;
  if (aTransfer.mAvailable) {
    // The ages are those of a moment between the start of the pull and now. A
    // beginning that is dated too early would go back with each further pull.
    mAvailability.NoteAvailable(era, {aNow - aTransfer.mAvailable->mFrom,
                                      mPullAt - aTransfer.mAvailable->mUntil});
  } else if (aTransfer.mAge) {
    const TimePoint answeredAt = mPullAt - *aTransfer.mAge;
    mAvailability.NoteAvailable(era, {answeredAt, answeredAt});
  }
}

void ViewSynchronizer::ConfirmAnnounced() {
  if (mAnnouncedNewest == 0 || mAnnouncedEra > mView.Era()) {
    return;
  }
  const bool isSameEra = mAnnouncedEra == mView.Era();
  if (isSameEra && mView.AsOf() < mAnnouncedNewest) {
    return;
  }
  if (isSameEra) {
    Confirm(mAnnounced);
  }
  mAnnouncedNewest = 0;
}

std::optional<ViewTransfer> ViewSynchronizer::ServePull(std::uint64_t aEra,
                                                        std::uint64_t aRevision,
                                                        TimePoint aNow) {
  if (mSendingUntil > aNow + kMaxSendBacklog) {
    return std::nullopt;
  }
  const ViewSummary summary = Summary(aNow);
  ViewTransfer transfer{mView.Since(aEra == mView.Era() ? aRevision : 0),
                        summary.mAge, summary.mConfirmation};
  if (const auto& available = mAvailability.Latest()) {
    const auto age = [aNow](TimePoint aTime) {
      return std::chrono::duration_cast<Duration>(aNow - aTime);
    };
    transfer.mAvailable =
        PeriodAges{age(available->mFrom), age(available->mUntil)};
  }
  const std::chrono::duration<double> sending(
      static_cast<double>(TransferSize(transfer.mDelta)) / kSendBytesPerSecond);
  mSendingUntil = std::max<TimePoint>(mSendingUntil, aNow) +
                  std::chrono::duration_cast<Duration>(sending);
  return transfer;
}

std::vector<StoreChange> ViewSynchronizer::StoreAnswered(
    const StoreDelta& aDelta, TimePoint aNow) {
  const TimePoint completeAt = CompleteAt(aDelta, aNow);
  NoteStoreAnswer(aDelta, aNow);
  mStoreCallPending = false;
  mFailures = 0;
  mAnsweredAt = aNow;
  const bool isOtherEra = mView.IsLoaded() && aDelta.mEra != mView.Era();
  if (isOtherEra && (!aDelta.mFull || aDelta.mEra < mView.Era())) {
    // The answer is no evidence about this view: it is a late one of an earlier
    // era, or changes that lead on from another view.
    mNeedsFullRead = mNeedsFullRead || aDelta.mEra > mView.Era();
    mNextCall = aNow + Jitter(kMaxRepeatedReadDelay);
    return {};
  }
  if (aDelta.mFull) {
    mNeedsFullRead = false;
  }
  std::vector<StoreChange> changes = Apply(aDelta, aNow);
  Confirm({completeAt, NewConfirmation(), {}});
  mNextCall =
      aNow + (changes.empty() ? Duration::zero() : Duration(kChangeBatchDelay));
  return changes;
}

void ViewSynchronizer::NoteStoreAnswer(const StoreDelta& aDelta,
                                       TimePoint aNow) {
  // A watch may wait while the store is away, so it shows only that the store
  // was there at its end. A host that is late may handle it later.
  const TimePoint due =
      mStoreCallPending ? std::min<TimePoint>(aNow, mStoreCallAt + mWatchWait)
                        : aNow;
  mAvailability.NoteAvailable(aDelta.mEra, {due, aDelta.mFull ? aNow : due});
}

TimePoint ViewSynchronizer::CompleteAt(const StoreDelta& aDelta,
                                       TimePoint aNow) const {
  if (!mStoreCallPending) {
    return aNow;
  }
  // A watch without changes ended when its wait was over. Any other answer
  // shows only what the store held when the call began: the rest of a read may
  // be older than its end, and a busy host handles the answer some time after
  // its arrival.
  const bool hasWaited = !aDelta.mFull && aDelta.mChanges.empty();
  return hasWaited ? std::min<TimePoint>(aNow, mStoreCallAt + mWatchWait)
                   : mStoreCallAt;
}

void ViewSynchronizer::StoreFailed(StoreFailure aFailure, TimePoint aNow) {
  mStoreCallPending = false;
  if (aFailure == StoreFailure::HistoryUnavailable) {
    mNeedsFullRead = true;
    mNextCall = aNow + Jitter(kMaxRepeatedReadDelay);
    return;
  }
  ++mFailures;
  const Duration delay =
      kRetryDelay + kRetryDelay * mDuty.mRank / kRanksPerRetryDelay;
  mNextCall = aNow + delay + Jitter(delay);
}

void ViewSynchronizer::Invalidate(TimePoint aNow) {
  mInvalidatedAt = aNow;
  mConfirmed.reset();
  // The next watch is a short one, as its answer is needed soon.
  mAnsweredAt.reset();
  mStartedAt = aNow - kStartGrace - kMaxTurn;
  mStoreCallPending = false;
  mPulls = 0;
  mOtherSources.clear();
  mNextCall = aNow + Jitter(kResumeReadSpread);
}

bool ViewSynchronizer::IsViewFresh(TimePoint aNow) const {
  if (!mView.IsLoaded()) {
    return false;
  }
  return !mInvalidatedAt || aNow - *mInvalidatedAt > kMaxInvalidTime;
}

ViewSummary ViewSynchronizer::Summary(TimePoint aNow) const {
  ViewSummary summary;
  if (!mView.IsLoaded()) {
    return summary;
  }
  summary.mNewest = mView.Newest();
  summary.mEra = mView.Era();
  summary.mAsOf = mView.AsOf();
  summary.mLostDigest = mView.LostDigest();
  if (mConfirmed) {
    summary.mAge = std::chrono::duration_cast<Duration>(aNow - mConfirmed->mAt);
    summary.mConfirmation = mConfirmed->mId;
  }
  return summary;
}

void ViewSynchronizer::Confirm(const ViewConfirmation& aConfirmation) {
  const TimePoint at =
      mConfirmations.DateOf(aConfirmation.mId, aConfirmation.mAt);
  mCompleteAt = mCompleteAt ? std::max(*mCompleteAt, at) : at;
  if (mInvalidatedAt && at < *mInvalidatedAt) {
    return;
  }
  mInvalidatedAt.reset();
  if (!mConfirmed || at > mConfirmed->mAt) {
    mConfirmed = ViewConfirmation{at, aConfirmation.mId, aConfirmation.mSource};
  }
  if (!aConfirmation.mSource.empty()) {
    mFleetToldAt = std::max(mFleetToldAt.value_or(at), at);
  }
}

std::uint64_t ViewSynchronizer::NewConfirmation() {
  // Two draws, as one has only 31 bits. Never 0.
  const std::uint64_t high = mRandom();
  return (high << 32U) | mRandom();
}

Duration ViewSynchronizer::Jitter(Duration aMax) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(0, aMax.count())(mRandom));
}

}  // namespace papayawheel
