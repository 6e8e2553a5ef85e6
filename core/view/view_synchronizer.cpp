#include "core/view/view_synchronizer.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How long a watch may wait in the store for a change. A lost answer is
 * detected only after this time. */
constexpr milliseconds kWatchTimeout{4000};

/** The timeout of a watch after a failed call, or when the store has not
 * answered this host recently. A lost call blocks the next one for its whole
 * timeout, so a short timeout detects a recovered store sooner. */
constexpr milliseconds kShortWatchTimeout{100};

/** Delay before the next watch after a change, so that changes in quick
 * succession are fetched in one call. */
constexpr milliseconds kChangeBatchDelay{200};

/** If the view has not been confirmed for this time, the host reads the store
 * by itself. Every host must know of a change within 2 s. */
constexpr milliseconds kMaxConfirmationAge{1300};

/** Time after the start for which a host relies on other hosts for its first
 * view before it reads the store by itself. */
constexpr milliseconds kStartGrace{1200};

/** Minimum delay of the first store call, so that the host can learn from its
 * seeds first. The second value applies when the whole fleet starts for the
 * first time. A random time of up to the same length is added. */
constexpr milliseconds kFirstReadDelay{60};
constexpr milliseconds kFirstFleetStartDelay{900};

/** Age of the last confirmation from which a host that is not a reader asks the
 * readers for a new one, and the interval between such requests. */
constexpr milliseconds kAskReadersAge{700};
constexpr milliseconds kAskReadersInterval{250};

/** Minimum delays before a failed store call is retried, for readers and for
 * other hosts. A random time of up to the same length is added. */
constexpr milliseconds kReaderRetryDelay{300};
constexpr milliseconds kNonReaderRetryDelay{1500};

/** If the view has not been confirmed for kStoreUnreachableAge, the store
 * counts as unreachable, and still does for kReconnectPeriod after the view has
 * been confirmed again. */
constexpr milliseconds kStoreUnreachableAge{2500};
constexpr milliseconds kReconnectPeriod{1500};

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

/** Maximum number of alternative sources that are kept during a pull. */
constexpr std::size_t kMaxPullSources = 4;

}  // namespace

ViewSynchronizer::ViewSynchronizer(TimePoint aNow, std::uint32_t aSeed,
                                   bool aIsFirstStart)
    : mRandom(aSeed),
      mStartedAt(aNow),
      mInvalidatedAt(aNow),
      mReconnectedAt(aNow),
      mNextCall(aNow) {
  const Duration delay =
      aIsFirstStart ? kFirstFleetStartDelay : kFirstReadDelay;
  mNextCall += delay + Jitter(delay);
}

ViewActions ViewSynchronizer::Tick(bool aIsReader, TimePoint aNow) {
  ViewActions actions;
  mIsReader = aIsReader;
  const auto confirmedAt = ConfirmedAt(aNow);
  const bool isOld = !confirmedAt || aNow - *confirmedAt > kAskReadersAge;
  if (!aIsReader && isOld && aNow >= mNextReaderQuery) {
    mNextReaderQuery = aNow + kAskReadersInterval;
    actions.emplace_back(AskReaders{});
  }
  if (mStoreCallPending || aNow < mNextCall ||
      (!aIsReader && !NeedsOwnRead(aNow))) {
    return actions;
  }
  mStoreCallPending = true;
  if (mNeedsFullRead) {
    actions.emplace_back(ReadStore{});
    return actions;
  }
  mWatching = true;
  mWatchingSince = aNow;
  const bool mayBeUnreachable = mFailures > 0 || !mAnsweredAt ||
                                aNow - *mAnsweredAt > kMaxConfirmationAge;
  actions.emplace_back(WatchStore{
      mView.AsOf(), mayBeUnreachable ? kShortWatchTimeout : kWatchTimeout});
  return actions;
}

TimePoint ViewSynchronizer::NextDue(TimePoint aNow) const {
  if (!mIsReader && mConfirmedAt) {
    // A confirmation is requested from the readers well before the host would
    // read the store by itself.
    return std::max<TimePoint>(
        {*mConfirmedAt + kAskReadersAge, mNextReaderQuery, aNow});
  }
  if (mStoreCallPending) {
    return aNow + kWatchTimeout;
  }
  if (mIsReader) {
    return std::max(mNextCall, aNow);
  }
  return std::max<TimePoint>({mNextCall, mStartedAt + kStartGrace, aNow});
}

bool ViewSynchronizer::NeedsOwnRead(TimePoint aNow) const {
  const auto confirmedAt = ConfirmedAt(aNow);
  if (confirmedAt) {
    return aNow - *confirmedAt > kMaxConfirmationAge;
  }
  return aNow - mStartedAt > kStartGrace;
}

ViewActions ViewSynchronizer::NotePeerSummary(
    const std::string& aControlAddress, const ViewSummary& aSummary,
    TimePoint aNow) {
  ViewActions actions;
  if (aSummary.mNewest == 0) {
    return actions;
  }
  if (mView.IsLoaded() && aSummary.mNewest < mView.Newest()) {
    return actions;
  }
  if (mView.IsLoaded() && aSummary.mNewest == mView.Newest()) {
    mView.Advance(aSummary.mAsOf);
    if (aSummary.mAge) {
      Confirm(aNow - *aSummary.mAge, aNow);
    }
    return actions;
  }
  if (aSummary.mAge && aNow - *aSummary.mAge >= mAnnouncedAt) {
    mAnnouncedNewest = aSummary.mNewest;
    mAnnouncedAt = aNow - *aSummary.mAge;
  }
  if (!mPulling) {
    actions.emplace_back(PullFrom(aControlAddress));
    return actions;
  }
  std::erase(mOtherSources, aControlAddress);
  mOtherSources.push_back(aControlAddress);
  if (mOtherSources.size() > kMaxPullSources) {
    mOtherSources.erase(mOtherSources.begin());
  }
  return actions;
}

PullView ViewSynchronizer::PullFrom(const std::string& aControlAddress) {
  mPulling = true;
  std::erase(mOtherSources, aControlAddress);
  return PullView{aControlAddress, mView.IsLoaded() ? mView.AsOf() : 0};
}

ViewActions ViewSynchronizer::PullFromNextSource() {
  ViewActions actions;
  if (!mPulling && !mOtherSources.empty()) {
    const std::string source = mOtherSources.back();
    actions.emplace_back(PullFrom(source));
  }
  return actions;
}

std::vector<StoreChange> ViewSynchronizer::FinishPull(
    const std::optional<StoreDelta>& aDelta, std::optional<Duration> aAge,
    TimePoint aNow) {
  mPulling = false;
  if (!aDelta || (!aDelta->mFull && !mView.IsLoaded())) {
    return {};
  }
  std::vector<StoreChange> changes = mView.Apply(*aDelta);
  mNeedsFullRead = false;
  if (aAge) {
    Confirm(aNow - *aAge, aNow);
  }
  if (mAnnouncedNewest > 0 && mView.Newest() >= mAnnouncedNewest) {
    Confirm(mAnnouncedAt, aNow);
    mAnnouncedNewest = 0;
  }
  if (mAnnouncedNewest == 0) {
    mOtherSources.clear();
  }
  return changes;
}

std::optional<StoreDelta> ViewSynchronizer::ServePull(std::uint64_t aRevision,
                                                      TimePoint aNow) {
  if (mSendingUntil > aNow + kMaxSendBacklog) {
    return std::nullopt;
  }
  StoreDelta delta = mView.Since(aRevision);
  const std::chrono::duration<double> sending(
      static_cast<double>(TransferSize(delta)) / kSendBytesPerSecond);
  mSendingUntil = std::max<TimePoint>(mSendingUntil, aNow) +
                  std::chrono::duration_cast<Duration>(sending);
  return delta;
}

std::vector<StoreChange> ViewSynchronizer::StoreAnswered(
    const StoreDelta& aDelta, TimePoint aNow) {
  mStoreCallPending = false;
  mWatching = false;
  mFailures = 0;
  mAnsweredAt = aNow;
  if (aDelta.mFull) {
    mNeedsFullRead = false;
  }
  std::vector<StoreChange> changes = mView.Apply(aDelta);
  Confirm(aNow, aNow);
  mNextCall =
      aNow + (changes.empty() ? Duration::zero() : Duration(kChangeBatchDelay));
  return changes;
}

void ViewSynchronizer::StoreFailed(StoreFailure aFailure, TimePoint aNow) {
  mStoreCallPending = false;
  mWatching = false;
  if (aFailure == StoreFailure::HistoryUnavailable) {
    mNeedsFullRead = true;
    mNextCall = aNow + Jitter(milliseconds(50));
    return;
  }
  ++mFailures;
  const Duration delay = mIsReader ? kReaderRetryDelay : kNonReaderRetryDelay;
  mNextCall = aNow + delay + Jitter(delay);
}

void ViewSynchronizer::Invalidate(TimePoint aNow) {
  mInvalidatedAt = aNow;
  mConfirmedAt.reset();
  mStartedAt = aNow - kStartGrace;
  mStoreCallPending = false;
  mWatching = false;
  mPulling = false;
  mOtherSources.clear();
  mNextCall = aNow + milliseconds(100) + Jitter(milliseconds(100));
}

bool ViewSynchronizer::IsViewFresh(TimePoint aNow) const {
  if (!mView.IsLoaded()) {
    return false;
  }
  return !mInvalidatedAt || aNow - *mInvalidatedAt > kMaxInvalidTime;
}

std::optional<TimePoint> ViewSynchronizer::ConfirmedAt(TimePoint aNow) const {
  const bool isWatchHealthy =
      mWatching && mFailures == 0 && mConfirmedAt.has_value() &&
      aNow - mWatchingSince < kWatchTimeout + kMaxConfirmationAge;
  return isWatchHealthy ? aNow : mConfirmedAt;
}

ViewSummary ViewSynchronizer::Summary(TimePoint aNow) const {
  ViewSummary summary;
  if (!mView.IsLoaded()) {
    return summary;
  }
  summary.mNewest = mView.Newest();
  summary.mAsOf = mView.AsOf();
  if (const auto confirmedAt = ConfirmedAt(aNow)) {
    summary.mAge = std::chrono::duration_cast<Duration>(aNow - *confirmedAt);
  }
  return summary;
}

bool ViewSynchronizer::WasStoreUnreachable(TimePoint aNow) const {
  const auto confirmedAt = ConfirmedAt(aNow);
  return !confirmedAt || aNow - *confirmedAt > kStoreUnreachableAge ||
         aNow - mReconnectedAt < kReconnectPeriod;
}

void ViewSynchronizer::Confirm(TimePoint aAt, TimePoint aNow) {
  if (mInvalidatedAt && aAt < *mInvalidatedAt) {
    return;
  }
  if (!mConfirmedAt || aNow - *mConfirmedAt > kStoreUnreachableAge) {
    mReconnectedAt = aNow;
  }
  mInvalidatedAt.reset();
  mConfirmedAt = mConfirmedAt ? std::max(*mConfirmedAt, aAt) : aAt;
}

Duration ViewSynchronizer::Jitter(Duration aMax) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(0, aMax.count())(mRandom));
}

}  // namespace papayawheel
