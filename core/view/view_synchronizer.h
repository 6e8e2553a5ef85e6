#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "core/gossip/gossip_message.h"
#include "core/view/store_view.h"

namespace papayawheel {

/** Read everything that the store holds. */
struct ReadStore {};

/** Wait for the store's next change. */
struct WatchStore {
  std::uint64_t mAfter = 0;
  std::chrono::milliseconds mWait{0};
};

/** Ask another host for what is missing here. */
struct PullView {
  /** The other host's address for requests between hosts. */
  std::string mAddress;
  std::uint64_t mAfter = 0;
};

/** Ask the hosts that watch the store whether the copy is still all. */
struct AskReaders {};

using ViewAction = std::variant<ReadStore, WatchStore, PullView, AskReaders>;
using ViewActions = std::vector<ViewAction>;

/** Why a call to the store brought nothing. */
enum class StoreFailure {
  /** The store no longer has the history since the revision. */
  HistoryGone,
  /** Anything else. */
  NoAnswer,
};

/** Keeps one host's copy of the platform's store current with few calls: a few
 * hosts watch the store, the others hear from them, and each host knows how
 * long ago its copy was last vouched for. A host whose copy nobody vouches for
 * reads for itself. It takes events, each with the time, and returns what to
 * do; it performs no input or output. */
class ViewSynchronizer {
 public:
  /** @param aIsFirstStart the whole fleet starts for the first time, so there
   * is time to find each other before anybody reads. */
  ViewSynchronizer(TimePoint aNow, std::uint32_t aSeed, bool aIsFirstStart);

  /** Does what is due.
   * @param aIsReader whether this host is one of those that watch the store. */
  ViewActions Tick(bool aIsReader, TimePoint aNow);
  [[nodiscard]] TimePoint NextDue(TimePoint aNow) const;

  /** Another host said what it knows. */
  ViewActions NotePeerSummary(const std::string& aControlAddress,
                              const ViewSummary& aSummary, TimePoint aNow);

  /** A pull has ended; nothing if it failed.
   * @param aAge how old the other host's copy was. */
  std::vector<StoreChange> FinishPull(const std::optional<StoreDelta>& aDelta,
                                      std::optional<Duration> aAge,
                                      TimePoint aNow);
  /** After a pull has failed or brought less than was told meanwhile: the
   * next host to ask. */
  ViewActions PullFromNextSource();

  /** What another host lacks that knows everything up to a revision; nothing
   * while so much is being sent that it would come too late. */
  std::optional<StoreDelta> ServePull(std::uint64_t aRevision, TimePoint aNow);

  /** The store answered a read or a watch. */
  std::vector<StoreChange> StoreAnswered(const StoreDelta& aDelta,
                                         TimePoint aNow);
  void StoreFailed(StoreFailure aFailure, TimePoint aNow);

  /** The process was suspended or has just started: the copy must not be acted
   * on until somebody vouches for it. Calls under way are to be cancelled. */
  void Invalidate(TimePoint aNow);

  [[nodiscard]] bool IsViewFresh(TimePoint aNow) const;
  [[nodiscard]] ViewSummary Summary(TimePoint aNow) const;
  [[nodiscard]] bool IsStoreFailing() const { return mFailures > 0; }
  /** The copy was not vouched for lately, so removals may be entries that
   * lapsed while the store was away. */
  [[nodiscard]] bool WasStoreUnreachable(TimePoint aNow) const;
  [[nodiscard]] const StoreView& View() const { return mView; }

 private:
  PullView PullFrom(const std::string& aControlAddress);
  void Confirm(TimePoint aAt, TimePoint aNow);
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt(TimePoint aNow) const;
  [[nodiscard]] bool NeedsOwnRead(TimePoint aNow) const;
  [[nodiscard]] Duration Jitter(Duration aMax);

  StoreView mView;
  std::minstd_rand mRandom;
  TimePoint mStartedAt;
  std::optional<TimePoint> mConfirmedAt;
  std::optional<TimePoint> mInvalidatedAt;
  TimePoint mReconnectedAt;
  bool mIsReader = false;
  /** A call to the store is under way. */
  bool mStoreCallPending = false;
  bool mWatching = false;
  TimePoint mWatchingSince;
  bool mNeedsFullRead = true;
  std::uint32_t mFailures = 0;
  /** When the store last answered this host. */
  std::optional<TimePoint> mAnsweredAt;
  TimePoint mNextCall;
  bool mPulling = false;
  /** Hosts that told news during a pull, latest last. */
  std::vector<std::string> mOtherSources;
  /** When what was offered to others will have been sent. */
  TimePoint mSendingUntil;
  /** What a host that knows more vouched for, until that is known here. */
  std::uint64_t mAnnouncedNewest = 0;
  TimePoint mAnnouncedAt;
  TimePoint mNextReaderQuery;
};

}  // namespace papayawheel
