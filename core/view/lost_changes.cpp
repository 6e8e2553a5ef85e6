#include "core/view/lost_changes.h"

#include <fmt/format.h>

#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
LostChanges::LostChanges(WriteOrderReader aReadOrder)
    : mReadOrder(std::move(aReadOrder)) {}

std::optional<WriteOrder> LostChanges::OrderOf(
    const StoreChange& aChange) const {
  if (!aChange.mValue || aChange.mOrder) {
    return aChange.mOrder;
  }
  return mReadOrder ? mReadOrder(aChange.mKey, *aChange.mValue) : std::nullopt;
}

const StoreChange* LostChanges::Superseding(const StoreChange& aStored) const {
  const auto found = mChanges.find(aStored.mKey);
  if (found == mChanges.end() || !aStored.mValue) {
    return nullptr;
  }
  const StoreChange& lost = found->second;
  const bool isSame = lost.mValue == aStored.mValue;
  const auto storedOrder = isSame ? std::nullopt : OrderOf(aStored);
  if (!lost.mOrder || !storedOrder) {
    return nullptr;
  }
  const bool isLater =
      lost.mValue ? *lost.mOrder > *storedOrder : *lost.mOrder >= *storedOrder;
  return isLater ? &lost : nullptr;
}

bool LostChanges::Keep(const StoreChange& aLost) {
  const auto found = mChanges.find(aLost.mKey);
  StoreChange lost = aLost;
  // Read once here, as values can be large.
  lost.mOrder = OrderOf(aLost);
  if (found == mChanges.end()) {
    mChanges.emplace(lost.mKey, std::move(lost));
    return true;
  }
  const auto position = [](const StoreChange& aChange) {
    return std::pair(aChange.mEra, aChange.mRevision);
  };
  const StoreChange& known = found->second;
  const bool isLater = lost.mOrder == known.mOrder
                           ? position(lost) > position(known)
                           : lost.mOrder > known.mOrder;
  if (isLater) {
    found->second = std::move(lost);
  }
  return isLater;
}

void LostChanges::Drop(const std::string& aKey) { mChanges.erase(aKey); }

std::vector<std::string> LostChanges::DropRemovals() {
  std::vector<std::string> keys;
  for (const auto& [key, lost] : mChanges) {
    if (!lost.mValue) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    mChanges.erase(key);
  }
  return keys;
}

std::vector<StoreChange> LostChanges::InForce(
    const std::map<std::string, StoreChange>& aStored) const {
  std::vector<StoreChange> changes;
  for (const auto& [key, lost] : mChanges) {
    const auto stored = aStored.find(key);
    if (stored != aStored.end() && Superseding(stored->second) != nullptr) {
      changes.push_back(lost);
    }
  }
  return changes;
}

std::uint64_t DigestOf(const std::vector<StoreChange>& aLost) {
  std::uint64_t digest = 0;
  for (const StoreChange& lost : aLost) {
    digest ^= StableHash(
        fmt::format("{}/{}/{}", lost.mEra, lost.mRevision, lost.mKey));
  }
  return digest;
}

}  // namespace papayawheel
