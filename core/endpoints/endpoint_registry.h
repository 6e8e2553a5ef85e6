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
 * dropped immediately, unless the store was unreachable for the host lately:
 * then the entry may have expired while the endpoint still runs, and it is kept
 * for a grace period so that the endpoint can publish itself again. */
class EndpointRegistry {
 public:
  EndpointRegistry();

  /** Adds or replaces a published entry. */
  void Put(const EndpointEntry& aEntry);

  /** Handles an entry that was removed from the store or is no longer readable.
   * @param aMayHaveExpired whether the store was unreachable lately. */
  void Remove(const std::string& aId, bool aMayHaveExpired, TimePoint aNow);

  /** Drops missing entries whose grace period is over and returns their ids. */
  std::vector<std::string> Tick(TimePoint aNow);

  /** Time at which Tick() will drop the next entry, if any is missing. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** Snapshot of the current endpoints; the same object until they change. */
  [[nodiscard]] std::shared_ptr<const EndpointMap> Endpoints();

 private:
  EndpointMap mEndpoints;
  /** Missing entries, by id, and the end of their grace period. */
  std::map<std::string, TimePoint> mMissing;
  std::shared_ptr<const EndpointMap> mSnapshot;
};

}  // namespace papayawheel
