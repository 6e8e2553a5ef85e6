#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/base/clock.h"
#include "core/membership/heartbeat.h"

namespace papayawheel {

/** Status of another host, as derived from its heartbeats. Which hosts exist is
 * defined by the configuration, not by heartbeats. */
enum class HostStatus {
  /** No heartbeat has arrived yet. */
  Unknown,
  /** It answered recently and serves calls. */
  Serving,
  /** It answered recently but does not serve calls or is draining. */
  NotServing,
  /** Several heartbeats in a row failed or were due but did not arrive. */
  Unresponsive,
};

/** The name of a status in logs and in the control API. */
std::string_view HostStatusName(HostStatus aStatus);

/** Stores the last heartbeat of each other host. */
class MembershipView {
 public:
  /** Another host answered or sent a heartbeat. */
  void NoteHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow);

  /** A heartbeat to another host failed. */
  void NoteMissedHeartbeat(const std::string& aHost);

  [[nodiscard]] HostStatus StatusOf(const std::string& aHost,
                                    TimePoint aNow) const;

  /** The last heartbeat of a host and when it arrived. */
  struct LastHeartbeat {
    Heartbeat mHeartbeat;
    TimePoint mAt;
    /** Failed heartbeats to the host since then. */
    std::uint32_t mMisses = 0;
  };
  /** The last heartbeat of a host; null if there is none. */
  [[nodiscard]] const LastHeartbeat* LastHeartbeatOf(
      const std::string& aHost) const;

  /** Removes all entries, since they are outdated after a suspension. */
  void Clear() { mHosts.clear(); }

  /** Sets the time between two heartbeats to the same host. */
  void SetPeriod(Duration aPeriod) { mPeriod = aPeriod; }

 private:
  std::map<std::string, LastHeartbeat> mHosts;
  Duration mPeriod = std::chrono::seconds(1);
};

}  // namespace papayawheel
