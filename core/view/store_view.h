#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayawheel {

/** One key of the platform's store as it was last written or removed. */
struct StoreChange {
  std::string mKey;
  /** The store's revision of the write or the removal. */
  std::uint64_t mRevision = 0;
  /** Nothing when the key was removed. */
  std::optional<std::string> mValue;
};

/** Revisions between which a copy knows nothing: it was read anew at the end,
 * so keys that came and went in between were never seen. */
struct StoreGap {
  std::uint64_t mAfter = 0;
  std::uint64_t mUntil = 0;

  bool operator==(const StoreGap&) const = default;
};

/** What has changed since some revision. */
struct StoreDelta {
  /** The changes are all that there is; keys that are missing are gone. */
  bool mFull = false;
  /** Nothing else changed up to this revision. */
  std::uint64_t mAsOf = 0;
  std::vector<StoreChange> mChanges;
  /** Where a receiver knows as little as the sender. */
  std::vector<StoreGap> mGaps = {};
};

/** Bytes that the changes of a delta take in a transfer, about. */
std::size_t TransferSize(const StoreDelta& aDelta);

/** A copy of the platform's store, kept by revision so that two hosts can
 * bring each other up to date. A key never goes back to an older revision. */
class StoreView {
 public:
  [[nodiscard]] bool IsLoaded() const { return mLoaded; }
  /** No change up to this revision is missing. */
  [[nodiscard]] std::uint64_t AsOf() const { return mAsOf; }
  /** The newest revision of a key here; equal on hosts that know the same. */
  [[nodiscard]] std::uint64_t Newest() const { return mNewest; }

  /** Takes changes over and returns those that were news. A delta that is not
   * full and starts after AsOf() must not be given. */
  std::vector<StoreChange> Apply(const StoreDelta& aDelta);

  /** Notes that nothing changed up to a revision. */
  void Advance(std::uint64_t aAsOf);

  /** What a host lacks that knows everything up to a revision. */
  [[nodiscard]] StoreDelta Since(std::uint64_t aRevision) const;

  [[nodiscard]] const std::map<std::string, StoreChange>& Items() const {
    return mItems;
  }

 private:
  void NoteGap(std::uint64_t aAfter, std::uint64_t aUntil);
  void PruneRemovals();
  [[nodiscard]] bool NeedsFullCopy(std::uint64_t aRevision) const;

  bool mLoaded = false;
  std::uint64_t mAsOf = 0;
  std::uint64_t mNewest = 0;
  /** Removals up to this revision have been forgotten. */
  std::uint64_t mPrunedUpTo = 0;
  /** In the order of their ends; those before mPrunedUpTo are not kept. */
  std::vector<StoreGap> mGaps;
  /** Removed keys stay as such for a while. */
  std::map<std::string, StoreChange> mItems;
};

}  // namespace papayawheel
