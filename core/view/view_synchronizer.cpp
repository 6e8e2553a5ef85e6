#include "core/view/view_synchronizer.h"

#include <algorithm>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How long the store lets a watch wait. A lost answer is noticed after it. */
constexpr milliseconds kWatchTimeout{4000};

/** The same after a failure, and if the store has not answered this host
 * lately: one that is back is soon noticed, while a call that was lost would
 * last as long as it may wait. */
constexpr milliseconds kShortWatchTimeout{100};

/** Changes that follow each other closely are fetched together. */
constexpr milliseconds kChangeBatchDelay{200};

/** A copy that nobody vouched for in this time is read by the host itself:
 * changes must be known within 2 s. */
constexpr milliseconds kMaxConfirmationAge{1300};

/** After a start the other hosts are asked first. */
constexpr milliseconds kStartGrace{1200};

/** A host that starts hears from its seeds before it reads the store. */
constexpr milliseconds kFirstReadDelay{60};
constexpr milliseconds kFirstFleetStartDelay{900};

/** A copy of this age is asked after, and how often. */
constexpr milliseconds kAskReadersAge{700};
constexpr milliseconds kAskReadersInterval{250};

/** Pauses after failed calls to the store. */
constexpr milliseconds kReaderRetryDelay{300};
constexpr milliseconds kNonReaderRetryDelay{1500};

/** A copy that was not vouched for in this time is out of touch, and for some
 * time after it is vouched for again. */
constexpr milliseconds kStoreUnreachableAge{2500};
constexpr milliseconds kReconnectPeriod{1500};

/** A distrusted copy is acted on after this all the same, if nobody can be
 * asked: a host that is cut off still serves its callers. */
constexpr seconds kMaxInvalidTime{3};

/** Bytes that a host sends to others in a second, at least, before they are
 * compressed to a third or less: slow links have 10 Mbit/s. */
constexpr double kSendBytesPerSecond = 3 * 10e6 / 8;

/** Nothing more is offered while so much is being sent. A host that is refused
 * asks another that has it by then. */
constexpr milliseconds kMaxSendBacklog{120};

/** Hosts that are remembered as other sources during a pull. */
constexpr std::size_t kMaxPullSources = 4;

}  // namespace

ViewSynchronizer::ViewSynchronizer(TimePoint aNow, std::uint32_t aSeed,
                                   bool aIsFirstStart)
    : mRandom(aSeed),
      mStartedAt(aNow),
      mInvalidatedAt(aNow),
      mReconnectedAt(aNow),
      mNextCall(aNow) {
  const Duration pause =
      aIsFirstStart ? kFirstFleetStartDelay : kFirstReadDelay;
  mNextCall += pause + Jitter(pause);
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
  const bool mayBeAway = mFailures > 0 || !mAnsweredAt ||
                         aNow - *mAnsweredAt > kMaxConfirmationAge;
  actions.emplace_back(
      WatchStore{mView.AsOf(), mayBeAway ? kShortWatchTimeout : kWatchTimeout});
  return actions;
}

TimePoint ViewSynchronizer::NextDue(TimePoint aNow) const {
  if (!mIsReader && mConfirmedAt) {
    // It asks the readers long before it reads for itself.
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
  std::vector<StoreChange> news = mView.Apply(*aDelta);
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
  return news;
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
  std::vector<StoreChange> news = mView.Apply(aDelta);
  Confirm(aNow, aNow);
  mNextCall =
      aNow + (news.empty() ? Duration::zero() : Duration(kChangeBatchDelay));
  return news;
}

void ViewSynchronizer::StoreFailed(StoreFailure aFailure, TimePoint aNow) {
  mStoreCallPending = false;
  mWatching = false;
  if (aFailure == StoreFailure::HistoryGone) {
    mNeedsFullRead = true;
    mNextCall = aNow + Jitter(milliseconds(50));
    return;
  }
  ++mFailures;
  const Duration pause = mIsReader ? kReaderRetryDelay : kNonReaderRetryDelay;
  mNextCall = aNow + pause + Jitter(pause);
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
  const bool watchIsSound =
      mWatching && mFailures == 0 && mConfirmedAt.has_value() &&
      aNow - mWatchingSince < kWatchTimeout + kMaxConfirmationAge;
  return watchIsSound ? aNow : mConfirmedAt;
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
