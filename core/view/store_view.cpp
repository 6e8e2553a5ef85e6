#include "core/view/store_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayawheel {
namespace {

/** Maximum number of removed keys that are kept, so that a host that lags only
 * a little can be sent the changes instead of a full copy. */
constexpr std::size_t kMaxRemovals = 256;

/** Maximum number of gaps that are kept. A host whose revision is older than
 * the gaps that were dropped needs a full copy. */
constexpr std::size_t kMaxGaps = 8;

/** Estimated encoding overhead of one change in a transfer, in bytes. */
constexpr std::size_t kBytesPerChange = 48;

}  // namespace

std::size_t TransferSize(const StoreDelta& aDelta) {
  std::size_t bytes = 0;
  for (const auto* const changes : {&aDelta.mChanges, &aDelta.mLost}) {
    for (const StoreChange& change : *changes) {
      bytes += kBytesPerChange + change.mKey.size();
      bytes += change.mValue ? change.mValue->size() : 0;
    }
  }
  return bytes;
}

StoreView::StoreView(WriteOrderReader aReadOrder)
    : mLost(std::move(aReadOrder)) {}

std::vector<StoreChange> StoreView::Apply(const StoreDelta& aDelta,
                                          bool aMayHaveExpired) {
  const bool isNewEra = mLoaded && aDelta.mEra > mEra;
  const bool isOlderCopy =
      mLoaded && aDelta.mFull && !isNewEra && aDelta.mAsOf < mAsOf;
  const bool isOlderEra = mLoaded && aDelta.mEra < mEra;
  if (isOlderEra || isOlderCopy || (isNewEra && !aDelta.mFull)) {
    return {};
  }
  if (!mLoaded) {
    mEra = aDelta.mEra;
  }
  std::vector<StoreChange> applied =
      isNewEra ? BeginEra(aDelta) : ApplyChanges(aDelta, aMayHaveExpired);
  for (const StoreChange& lost : aDelta.mLost) {
    if (AddLost(lost)) {
      applied.push_back(lost);
    }
  }
  UpdateLost();
  return applied;
}

void StoreView::UpdateLost() {
  mLostInForce = mLost.InForce(mItems);
  mLostDigest = DigestOf(mLostInForce);
}

std::vector<StoreChange> StoreView::ApplyChanges(const StoreDelta& aDelta,
                                                 bool aMayHaveExpired) {
  std::vector<StoreChange> applied;
  const std::uint64_t before = mAsOf;
  std::set<std::string> present;
  for (const StoreChange& change : aDelta.mChanges) {
    present.insert(change.mKey);
    const auto known = mItems.find(change.mKey);
    if (known != mItems.end() && known->second.mRevision >= change.mRevision) {
      continue;
    }
    NoteRevision(change.mRevision);
    if (Store(change, aMayHaveExpired)) {
      applied.push_back(change);
    }
  }
  if (aDelta.mFull) {
    for (const auto& [key, item] : mItems) {
      const bool removed = item.mValue && !present.contains(key) &&
                           item.mRevision <= aDelta.mAsOf;
      if (removed) {
        const StoreChange removal{key, aDelta.mAsOf, std::nullopt};
        NoteRevision(removal.mRevision);
        Store(removal, aMayHaveExpired);
        applied.push_back(removal);
      }
    }
    // The last change may have been the removal of a key that is not known
    // here.
    NoteRevision(aDelta.mAsOf);
    // A key that was written and removed between two full reads is in neither
    // of them.
    NoteGap(before, aDelta.mAsOf);
  }
  for (const StoreGap& gap : aDelta.mGaps) {
    NoteGap(std::max(gap.mAfter, before), gap.mUntil);
  }
  mLoaded = mLoaded || aDelta.mFull;
  Advance(aDelta.mAsOf);
  PruneRemovals();
  return applied;
}

std::vector<StoreChange> StoreView::BeginEra(const StoreDelta& aDelta) {
  std::map<std::string, StoreChange> before = std::exchange(mItems, {});
  for (auto& [key, item] : before) {
    if (const StoreChange* const lost = mLost.Superseding(item)) {
      item = *lost;
    } else if (!item.mMayHaveExpired) {
      item.mEra = mEra;
      mLost.Keep(item);
    }
  }
  mEra = aDelta.mEra;
  mDropsLostRemovals = false;
  mAsOf = 0;
  mNewest = 0;
  mAhead.clear();
  mPrunedUpTo = 0;
  mGaps.clear();
  std::vector<StoreChange> applied;
  for (const StoreChange& change : aDelta.mChanges) {
    NoteRevision(change.mRevision);
    const bool isInForce = Store(change, false);
    const auto known = before.find(change.mKey);
    if (isInForce &&
        (known == before.end() || known->second.mValue != change.mValue)) {
      applied.push_back(change);
    }
  }
  for (const auto& [key, item] : before) {
    if (mItems.contains(key)) {
      continue;
    }
    mLost.Drop(key);
    if (item.mValue) {
      applied.push_back(StoreChange{key, aDelta.mAsOf, std::nullopt});
    }
  }
  NoteRevision(aDelta.mAsOf);
  NoteGap(0, aDelta.mAsOf);
  Advance(aDelta.mAsOf);
  return applied;
}

bool StoreView::Store(StoreChange aChange, bool aMayHaveExpired) {
  StoreChange& item = mItems[aChange.mKey];
  if (!aChange.mValue) {
    const StoreChange* const lost = mLost.Superseding(item);
    aChange.mOrder = mLost.OrderOf(lost == nullptr ? item : *lost);
    aChange.mMayHaveExpired = aMayHaveExpired;
  }
  item = std::move(aChange);
  if (mLost.Superseding(item) != nullptr) {
    return false;
  }
  mLost.Drop(item.mKey);
  return true;
}

bool StoreView::AddLost(const StoreChange& aLost) {
  const auto stored = mItems.find(aLost.mKey);
  const bool isExpired = !aLost.mValue && mDropsLostRemovals;
  if (stored == mItems.end() || aLost.mEra >= mEra || isExpired) {
    return false;
  }
  const bool wasInForce = mLost.Superseding(stored->second) != nullptr;
  if (!mLost.Keep(aLost)) {
    return false;
  }
  if (mLost.Superseding(stored->second) == nullptr) {
    if (!wasInForce) {
      mLost.Drop(aLost.mKey);
    }
    return false;
  }
  return true;
}

std::optional<std::string> StoreView::ValueOf(const std::string& aKey) const {
  const auto stored = mItems.find(aKey);
  if (stored == mItems.end()) {
    return std::nullopt;
  }
  const StoreChange* const lost = mLost.Superseding(stored->second);
  return lost == nullptr ? stored->second.mValue : lost->mValue;
}

void StoreView::ConfirmRemovals() {
  for (auto& [key, item] : mItems) {
    item.mMayHaveExpired = false;
  }
}

std::vector<StoreChange> StoreView::DropLostRemovals() {
  mDropsLostRemovals = true;
  std::vector<StoreChange> applied;
  for (const std::string& key : mLost.DropRemovals()) {
    const auto stored = mItems.find(key);
    if (stored != mItems.end() && stored->second.mValue) {
      applied.push_back(stored->second);
    }
  }
  UpdateLost();
  return applied;
}

void StoreView::Advance(std::uint64_t aAsOf) {
  mAsOf = std::max(mAsOf, aAsOf);
  const auto end = mAhead.upper_bound(mAsOf);
  for (auto it = mAhead.begin(); it != end; ++it) {
    mNewest = std::max(mNewest, *it);
  }
  mAhead.erase(mAhead.begin(), end);
}

void StoreView::NoteRevision(std::uint64_t aRevision) {
  if (aRevision > mAsOf) {
    mAhead.insert(aRevision);
  } else {
    mNewest = std::max(mNewest, aRevision);
  }
}

StoreDelta StoreView::Since(std::uint64_t aRevision) const {
  StoreDelta delta;
  delta.mFull = NeedsFullCopy(aRevision);
  delta.mEra = mEra;
  delta.mAsOf = mAsOf;
  delta.mLost = Lost();
  if (!delta.mFull) {
    std::copy_if(
        mGaps.begin(), mGaps.end(), std::back_inserter(delta.mGaps),
        [aRevision](const StoreGap& aGap) { return aGap.mUntil > aRevision; });
  }
  for (const auto& [key, item] : mItems) {
    const bool wanted =
        delta.mFull ? item.mValue.has_value() : item.mRevision > aRevision;
    if (wanted) {
      delta.mChanges.push_back(item);
    }
  }
  return delta;
}

bool StoreView::NeedsFullCopy(std::uint64_t aRevision) const {
  if (aRevision < mPrunedUpTo || aRevision == 0) {
    return true;
  }
  return std::any_of(
      mGaps.begin(), mGaps.end(), [aRevision](const StoreGap& aGap) {
        return aRevision > aGap.mAfter && aRevision < aGap.mUntil;
      });
}

void StoreView::NoteGap(std::uint64_t aAfter, std::uint64_t aUntil) {
  if (aAfter == 0) {
    // The view was empty, so no delta can be given for any earlier revision.
    mPrunedUpTo = std::max(mPrunedUpTo, aUntil);
  } else if (aAfter + 1 < aUntil) {
    const StoreGap gap{aAfter, aUntil};
    const auto isLater = [](const StoreGap& aLeft, const StoreGap& aRight) {
      return aLeft.mUntil < aRight.mUntil;
    };
    mGaps.insert(std::upper_bound(mGaps.begin(), mGaps.end(), gap, isLater),
                 gap);
  }
  if (mGaps.size() > kMaxGaps) {
    mPrunedUpTo = std::max(mPrunedUpTo, mGaps.front().mUntil);
  }
  std::erase_if(mGaps, [this](const StoreGap& aGap) {
    return aGap.mUntil <= mPrunedUpTo;
  });
}

void StoreView::PruneRemovals() {
  std::vector<std::pair<std::uint64_t, std::string>> removals;
  for (const auto& [key, item] : mItems) {
    if (!item.mValue) {
      removals.emplace_back(item.mRevision, key);
    }
  }
  if (removals.size() <= kMaxRemovals) {
    return;
  }
  std::sort(removals.begin(), removals.end());
  const std::size_t surplus = removals.size() - kMaxRemovals / 2;
  for (std::size_t index = 0; index < surplus; ++index) {
    mPrunedUpTo = std::max(mPrunedUpTo, removals[index].first);
    mItems.erase(removals[index].second);
  }
}

}  // namespace papayawheel
