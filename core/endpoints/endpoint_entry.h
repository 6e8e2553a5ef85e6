#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/base/clock.h"
#include "core/routes/route_table.h"

namespace papayawheel {

/** What is published of one endpoint. */
struct EndpointEntry {
  /** Names one start of the endpoint, together with mIncarnation. */
  std::string mId;
  std::string mService;
  /** IP number and port. */
  std::string mAddress;
  std::string mDataCentre;
  /** Requests that it runs at once. */
  std::uint32_t mSlots = 1;
  /** It takes no new work. */
  bool mDraining = false;
  /** How much longer it runs slowly after its start. */
  Duration mWarmUpLeft{0};
  /** Differs from one start to the next under the same id. */
  std::int64_t mIncarnation = 0;
};

/** Whether two entries of one id are of the same start of the endpoint. */
inline bool IsSameStart(const EndpointEntry& aLeft,
                        const EndpointEntry& aRight) {
  return aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mAddress == aRight.mAddress;
}

using EndpointMap = std::map<std::string, EndpointEntry>;

/** Everything that traffic needs to know of what is published. Immutable. */
struct RoutingView {
  /** Null while no configuration is known. */
  std::shared_ptr<const RouteTable> mRoutes;
  std::shared_ptr<const EndpointMap> mEndpoints;
  /** The revision that the view was made from. */
  std::uint64_t mRevision = 0;
};

}  // namespace papayawheel
