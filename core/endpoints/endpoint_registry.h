#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"

namespace papayawheel {

/** The published endpoints as they are to be used. An entry that disappears
 * is gone at once, unless the host was out of touch with the store: then it may
 * have lapsed while its endpoint lives on, and is kept for a moment so that the
 * endpoint can publish itself again. */
class EndpointRegistry {
 public:
  EndpointRegistry();

  /** An entry was published. */
  void Put(const EndpointEntry& aEntry);

  /** An entry was removed or can no longer be read.
   * @param aMayHaveExpired the host was out of touch with the store lately. */
  void Remove(const std::string& aId, bool aMayHaveExpired, TimePoint aNow);

  /** Drops entries that have not come back; true if there were any. */
  bool Tick(TimePoint aNow);

  /** When Tick() has something to do; nothing if never. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /** The endpoints now; the same object while nothing changes. */
  [[nodiscard]] std::shared_ptr<const EndpointMap> Endpoints();

 private:
  EndpointMap mEndpoints;
  /** Entries that are missing, and until when they are kept. */
  std::map<std::string, TimePoint> mMissing;
  std::shared_ptr<const EndpointMap> mSnapshot;
};

}  // namespace papayawheel
