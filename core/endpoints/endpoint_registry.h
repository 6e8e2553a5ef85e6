#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"

namespace papayawheel {

/** The published endpoints that requests may be routed to. A removed entry is
 * dropped immediately, unless it may have expired while the endpoint still
 * runs: then it is kept for a while, so that the endpoint can publish itself
 * again. */
class EndpointRegistry {
 public:
  EndpointRegistry();

  /** Adds or replaces a published entry. */
  void Put(const EndpointEntry& aEntry);

  /** Handles an entry that was removed from the store or is no longer readable.
   * @param aUsableUntil see StoreAvailability::UsableUntil(). An endpoint that
   * was draining has left. */
  void Remove(const std::string& aId, TimePoint aUsableUntil, TimePoint aNow);

  /** Drops missing entries that are no longer kept and returns their ids.
   * @param aExpiriesUntil see StoreAvailability::ExpiriesUntil(). Another host
   * may have told since the removal that the store was not away. */
  std::vector<std::string> Tick(TimePoint aExpiriesUntil, TimePoint aNow);

  /** Time at which Tick() will drop the next entry, if any is missing. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** Snapshot of the current endpoints; the same object until they change. */
  [[nodiscard]] std::shared_ptr<const EndpointMap> Endpoints();

 private:
  EndpointMap mEndpoints;
  /** Missing entries, by id, and until when they are kept. */
  std::map<std::string, TimePoint> mMissing;
  std::shared_ptr<const EndpointMap> mSnapshot;
};

}  // namespace papayawheel
