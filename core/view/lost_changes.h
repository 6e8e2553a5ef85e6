#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/view/store_change.h"

namespace papayawheel {

/** Changes that the store lost when it came back from a copy, as far as this
 * host knows them. Such a change stays in force while the store holds an
 * earlier write of the same writer at its key: a newer configuration than the
 * store's, or the removal of an endpoint that the copy still lists. */
class LostChanges {
 public:
  explicit LostChanges(WriteOrderReader aReadOrder);

  /** The lost change that is later than what the store holds at a key; null if
   * there is none. A removal in the store's present era is never superseded. */
  [[nodiscard]] const StoreChange* Superseding(
      const StoreChange& aStored) const;

  /** Records a change of an earlier era, unless a later one of its key is
   * known. Returns whether it was recorded. */
  bool Keep(const StoreChange& aLost);
  void Drop(const std::string& aKey);
  /** Drops all removals. An entry that the store still lists after its writer's
   * time to renew it has passed is in use. Returns their keys. */
  std::vector<std::string> DropRemovals();

  /** The order of the value of a change, or of the last one before a removal.
   */
  [[nodiscard]] std::optional<WriteOrder> OrderOf(
      const StoreChange& aChange) const;

  /** The changes that supersede what the store holds.
   * @param aStored the store's items, by key. */
  [[nodiscard]] std::vector<StoreChange> InForce(
      const std::map<std::string, StoreChange>& aStored) const;

 private:
  WriteOrderReader mReadOrder;
  std::map<std::string, StoreChange> mChanges;
};

/** Digest of the identity of changes; 0 for none. */
std::uint64_t DigestOf(const std::vector<StoreChange>& aLost);

}  // namespace papayawheel
