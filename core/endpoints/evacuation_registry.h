#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Names of data centres. */
using DataCentreSet = std::set<std::string>;

/** The data centres that the operator has evacuated: their endpoints get no
 * requests. */
class EvacuationRegistry {
 public:
  EvacuationRegistry();

  /** Handles a published evacuation. */
  void Begin(const std::string& aDataCentre);

  /** Handles the removal of an evacuation from the store.
   * @param aMayBeLost the store was restored from a copy that may lack the
   * evacuation. It then stays in force for a while, so that the operator can
   * publish it again. */
  void End(const std::string& aDataCentre, bool aMayBeLost, TimePoint aNow);

  /** Ends lost evacuations that were not published again; returns their data
   * centres. */
  std::vector<std::string> Tick(TimePoint aNow);

  /** When Tick() must be called next; nothing if no evacuation is lost. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** Snapshot of the evacuated data centres; the same object until they
   * change. */
  [[nodiscard]] std::shared_ptr<const DataCentreSet> DataCentres() const {
    return mSnapshot;
  }

 private:
  void Drop(const std::string& aDataCentre);

  /** Until when each lost evacuation stays in force. */
  std::map<std::string, TimePoint> mLost;
  std::shared_ptr<const DataCentreSet> mSnapshot;
};

}  // namespace papayawheel
