#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayawheel {

/** The latest known write or removal of one key of the platform's store. */
struct StoreChange {
  std::string mKey;
  /** The store revision at which the key was written or removed. */
  std::uint64_t mRevision = 0;
  /** Empty if the key was removed. */
  std::optional<std::string> mValue;
};

/** A range of revisions whose changes were not observed. The view was replaced
 * by a full read at mUntil, so a key that was written and removed within the
 * range is unknown to it. */
struct StoreGap {
  std::uint64_t mAfter = 0;
  std::uint64_t mUntil = 0;

  bool operator==(const StoreGap&) const = default;
};

/** The changes of the store since some revision, or its whole contents. */
struct StoreDelta {
  /** The changes are the complete contents of the store: a key that is not
   * among them does not exist. */
  bool mFull = false;
  /** The delta includes every change up to this revision. */
  std::uint64_t mAsOf = 0;
  std::vector<StoreChange> mChanges;
  /** Gaps of the sender's view that the receiver must record as its own. */
  std::vector<StoreGap> mGaps = {};
};

/** Estimates the size of a delta in a transfer, in bytes. */
std::size_t TransferSize(const StoreDelta& aDelta);

/** A local copy of the platform's store. Each key carries its revision, so that
 * hosts can update each other by deltas. A key never reverts to an older
 * revision. */
class StoreView {
 public:
  [[nodiscard]] bool IsLoaded() const { return mLoaded; }
  /** The view includes every change up to this revision. */
  [[nodiscard]] std::uint64_t AsOf() const { return mAsOf; }
  /** A revision such that no change lies between it and AsOf(). Later changes,
   * as a read of several pages may bring, do not count: earlier ones may be
   * missing.
   */
  [[nodiscard]] std::uint64_t Newest() const { return mNewest; }

  /** Applies a delta and returns the changes that were not known yet. A full
   * delta that is older than the view is ignored. A delta that is not full must
   * not start after AsOf(). */
  std::vector<StoreChange> Apply(const StoreDelta& aDelta);

  /** Records that the view includes every change up to a revision. */
  void Advance(std::uint64_t aAsOf);

  /** Returns what a host needs that has every change up to a revision: the
   * changes after it, or a full copy if those are no longer all known. */
  [[nodiscard]] StoreDelta Since(std::uint64_t aRevision) const;

  [[nodiscard]] const std::map<std::string, StoreChange>& Items() const {
    return mItems;
  }

 private:
  /** Records the revision of a change that was applied. */
  void NoteRevision(std::uint64_t aRevision);
  void NoteGap(std::uint64_t aAfter, std::uint64_t aUntil);
  void PruneRemovals();
  [[nodiscard]] bool NeedsFullCopy(std::uint64_t aRevision) const;

  bool mLoaded = false;
  std::uint64_t mAsOf = 0;
  std::uint64_t mNewest = 0;
  /** Revisions of applied changes after mAsOf. */
  std::set<std::uint64_t> mAhead;
  /** Removals up to this revision may have been pruned; hosts older than this
   * need a full copy. */
  std::uint64_t mPrunedUpTo = 0;
  /** Sorted by mUntil. Gaps that end at or before mPrunedUpTo are dropped. */
  std::vector<StoreGap> mGaps;
  /** By key. Removed keys are kept, without a value, until they are pruned. */
  std::map<std::string, StoreChange> mItems;
};

}  // namespace papayawheel
