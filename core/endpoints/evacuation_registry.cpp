#include "core/endpoints/evacuation_registry.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** How long an evacuation that a restored store lacks stays in force. Removals
 * that such a store has lost hold as long. */
constexpr std::chrono::seconds kLostPeriod{10};

}  // namespace

EvacuationRegistry::EvacuationRegistry()
    : mSnapshot(std::make_shared<DataCentreSet>()) {}

void EvacuationRegistry::Begin(const std::string& aDataCentre) {
  mLost.erase(aDataCentre);
  if (mSnapshot->contains(aDataCentre)) {
    return;
  }
  auto next = std::make_shared<DataCentreSet>(*mSnapshot);
  next->insert(aDataCentre);
  mSnapshot = std::move(next);
}

void EvacuationRegistry::End(const std::string& aDataCentre, bool aMayBeLost,
                             TimePoint aNow) {
  if (!mSnapshot->contains(aDataCentre)) {
    return;
  }
  if (aMayBeLost) {
    mLost.emplace(aDataCentre, aNow + kLostPeriod);
    return;
  }
  Drop(aDataCentre);
}

std::vector<std::string> EvacuationRegistry::Tick(TimePoint aNow) {
  std::vector<std::string> ended;
  for (const auto& [dataCentre, until] : mLost) {
    if (until <= aNow) {
      ended.push_back(dataCentre);
    }
  }
  for (const std::string& dataCentre : ended) {
    Drop(dataCentre);
  }
  return ended;
}

std::optional<TimePoint> EvacuationRegistry::NextDue() const {
  std::optional<TimePoint> due;
  for (const auto& [dataCentre, until] : mLost) {
    due = std::min(due.value_or(until), until);
  }
  return due;
}

void EvacuationRegistry::Drop(const std::string& aDataCentre) {
  mLost.erase(aDataCentre);
  auto next = std::make_shared<DataCentreSet>(*mSnapshot);
  next->erase(aDataCentre);
  mSnapshot = std::move(next);
}

}  // namespace papayawheel
