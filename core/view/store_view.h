#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/view/lost_changes.h"
#include "core/view/store_change.h"

namespace papayawheel {

/** A local copy of the platform's store. Each key carries its revision, so that
 * hosts can update each other by deltas. A key never reverts to an older
 * revision of the same era. When the store comes back from a copy, its new era
 * replaces the view; changes that the store lost stay in force until their
 * writers have repeated them. */
class StoreView {
 public:
  /** @param aReadOrder orders the values of one key. Without it, no change that
   * the store lost stays in force. */
  explicit StoreView(WriteOrderReader aReadOrder = {});

  [[nodiscard]] bool IsLoaded() const { return mLoaded; }
  /** The era of the store that the view is a copy of; see StoreDelta::mEra. */
  [[nodiscard]] std::uint64_t Era() const { return mEra; }
  /** The view includes every change up to this revision. */
  [[nodiscard]] std::uint64_t AsOf() const { return mAsOf; }
  /** A revision such that no change lies between it and AsOf(). Later changes,
   * as a read of several pages may bring, do not count: earlier ones may be
   * missing.
   */
  [[nodiscard]] std::uint64_t Newest() const { return mNewest; }

  /** Applies a delta and returns the changes that were not known yet. A full
   * delta that is older than the view is ignored, and so is any delta of an
   * earlier era. Only a full delta begins a new era. A delta that is not full
   * must not start after AsOf().
   * @param aMayHaveExpired whether removed entries may have expired although
   * their writers live. Such removals end if the store is restored before
   * ConfirmRemovals(). */
  std::vector<StoreChange> Apply(const StoreDelta& aDelta,
                                 bool aMayHaveExpired = false);

  /** Records that the view includes every change up to a revision. */
  void Advance(std::uint64_t aAsOf);

  /** Returns what a host needs that has every change up to a revision: the
   * changes after it, or a full copy if those are no longer all known. */
  [[nodiscard]] StoreDelta Since(std::uint64_t aRevision) const;

  /** What the store holds, with removed keys; lost changes are not among it. */
  [[nodiscard]] const std::map<std::string, StoreChange>& Items() const {
    return mItems;
  }
  /** The value in force at a key, which may be one that the store has lost;
   * empty if there is none. */
  [[nodiscard]] std::optional<std::string> ValueOf(
      const std::string& aKey) const;
  /** The changes in force that the store has lost. */
  [[nodiscard]] const std::vector<StoreChange>& Lost() const {
    return mLostInForce;
  }
  /** A number that is equal for equal sets of lost changes; 0 for none. */
  [[nodiscard]] std::uint64_t LostDigest() const { return mLostDigest; }
  /** The time to publish expired entries again is over: those that are still
   * removed are gone. */
  void ConfirmRemovals();

  /** Lets the store's items replace the removals that it has lost, also those
   * that other hosts still know. Returns the changes. */
  std::vector<StoreChange> DropLostRemovals();

 private:
  /** Replaces the view by the contents of a restored store. */
  std::vector<StoreChange> BeginEra(const StoreDelta& aDelta);
  /** Applies changes of the present era. */
  std::vector<StoreChange> ApplyChanges(const StoreDelta& aDelta,
                                        bool aMayHaveExpired);
  /** Stores a change of the present era. Returns whether it is in force. */
  bool Store(StoreChange aChange, bool aMayHaveExpired);
  /** Adds a lost change from another host. Returns whether it is in force. */
  bool AddLost(const StoreChange& aLost);
  /** Computes the lost changes in force after a change. */
  void UpdateLost();
  /** Records the revision of a change that was applied. */
  void NoteRevision(std::uint64_t aRevision);
  void NoteGap(std::uint64_t aAfter, std::uint64_t aUntil);
  void PruneRemovals();
  [[nodiscard]] bool NeedsFullCopy(std::uint64_t aRevision) const;

  bool mLoaded = false;
  std::uint64_t mEra = 0;
  std::uint64_t mAsOf = 0;
  std::uint64_t mNewest = 0;
  /** Revisions of applied changes after mAsOf. */
  std::set<std::uint64_t> mAhead;
  /** Removals up to this revision may have been pruned; hosts older than this
   * need a full copy. */
  std::uint64_t mPrunedUpTo = 0;
  /** Sorted by mUntil. Gaps that end at or before mPrunedUpTo are dropped. */
  std::vector<StoreGap> mGaps;
  LostChanges mLost;
  /** Those of mLost that are in force, and their digest. */
  std::vector<StoreChange> mLostInForce;
  std::uint64_t mLostDigest = 0;
  /** Whether DropLostRemovals() was called in this era. */
  bool mDropsLostRemovals = false;
  /** By key. Removed keys are kept, without a value, until they are pruned. */
  std::map<std::string, StoreChange> mItems;
};

}  // namespace papayawheel
