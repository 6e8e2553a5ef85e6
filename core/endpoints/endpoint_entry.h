#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/base/clock.h"
#include "core/endpoints/evacuation_registry.h"
#include "core/routes/route_table.h"

namespace papayawheel {

/** The published data of one endpoint. */
struct EndpointEntry {
  /** Together with mIncarnation, identifies one start of the endpoint. */
  std::string mId;
  std::string mService;
  /** IP number and port. */
  std::string mAddress;
  std::string mDataCentre;
  /** Number of requests that the endpoint runs concurrently. */
  std::uint32_t mSlots = 1;
  /** Whether the endpoint accepts no new requests. */
  bool mDraining = false;
  /** Remaining time of the warm-up after a start, in which it runs slower. */
  Duration mWarmUpRemaining{0};
  /** Differs between starts under the same id. */
  std::int64_t mIncarnation = 0;
};

/** Whether two entries with the same id describe the same start of the
 * endpoint. */
inline bool IsSameStart(const EndpointEntry& aLeft,
                        const EndpointEntry& aRight) {
  return aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mAddress == aRight.mAddress;
}

using EndpointMap = std::map<std::string, EndpointEntry>;

/** An immutable snapshot of the published data that request routing uses. */
struct RoutingView {
  /** Null until a configuration has been loaded. */
  std::shared_ptr<const RouteTable> mRoutes;
  std::shared_ptr<const EndpointMap> mEndpoints;
  /** Data centres whose endpoints get no requests; null for none. */
  std::shared_ptr<const DataCentreSet> mEvacuated;
  /** Store revision that the snapshot was built from. */
  std::uint64_t mRevision = 0;
};

}  // namespace papayawheel
