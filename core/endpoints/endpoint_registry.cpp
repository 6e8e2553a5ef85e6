#include "core/endpoints/endpoint_registry.h"

#include <algorithm>

namespace papayawheel {
EndpointRegistry::EndpointRegistry()
    : mSnapshot(std::make_shared<EndpointMap>()) {}

void EndpointRegistry::Put(const EndpointEntry& aEntry) {
  mEndpoints[aEntry.mId] = aEntry;
  mMissing.erase(aEntry.mId);
  mSnapshot.reset();
}

void EndpointRegistry::Remove(const std::string& aId, TimePoint aUsableUntil,
                              TimePoint aNow) {
  const auto found = mEndpoints.find(aId);
  if (found == mEndpoints.end()) {
    return;
  }
  if (aUsableUntil > aNow && !found->second.mDraining) {
    mMissing.emplace(aId, aUsableUntil);
    return;
  }
  mEndpoints.erase(found);
  mMissing.erase(aId);
  mSnapshot.reset();
}

std::vector<std::string> EndpointRegistry::Tick(TimePoint aExpiriesUntil,
                                                TimePoint aNow) {
  std::vector<std::string> dropped;
  for (auto it = mMissing.begin(); it != mMissing.end();) {
    if (std::min(it->second, aExpiriesUntil) > aNow) {
      ++it;
      continue;
    }
    mEndpoints.erase(it->first);
    dropped.push_back(it->first);
    it = mMissing.erase(it);
    mSnapshot.reset();
  }
  return dropped;
}

std::optional<TimePoint> EndpointRegistry::NextDue() const {
  std::optional<TimePoint> due;
  for (const auto& [id, until] : mMissing) {
    due = due ? std::min(*due, until) : until;
  }
  return due;
}

std::shared_ptr<const EndpointMap> EndpointRegistry::Endpoints() {
  if (mSnapshot == nullptr) {
    mSnapshot = std::make_shared<EndpointMap>(mEndpoints);
  }
  return mSnapshot;
}

}  // namespace papayawheel
