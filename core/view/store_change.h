#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/view/write_order.h"

namespace papayawheel {

/** The latest known write or removal of one key of the platform's store. */
struct StoreChange {
  std::string mKey;
  /** The store revision at which the key was written or removed. */
  std::uint64_t mRevision = 0;
  /** Empty if the key was removed. */
  std::optional<std::string> mValue;
  /** The era of the store that mRevision belongs to. Set only in changes of
   * earlier eras; see StoreDelta::mLost. */
  std::uint64_t mEra = 0;
  /** Of a removed key: the order of the last value that was known. */
  std::optional<WriteOrder> mOrder = std::nullopt;
  /** Of a removed key: whether the entry may have expired although its writer
   * lives, and the time to publish it again is not over. */
  bool mMayHaveExpired = false;
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
  /** The era of the store. It increases when the store comes back from a copy
   * that lacks its latest changes, and revisions are given out again.
   * Revisions of different eras cannot be compared. */
  std::uint64_t mEra = 0;
  /** Changes of earlier eras that the store has lost, and that are later than
   * what it holds at their keys. */
  std::vector<StoreChange> mLost = {};
};

/** Estimates the size of a delta in a transfer, in bytes. */
std::size_t TransferSize(const StoreDelta& aDelta);

}  // namespace papayawheel
