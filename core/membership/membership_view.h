#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/base/clock.h"
#include "core/membership/heartbeat.h"

namespace papayawheel {

/** What this host believes of another. The published list says which hosts
 * exist; heartbeats say which of them answer. */
enum class HostStatus {
  /** Nothing has been heard or proved yet. */
  Unknown,
  /** It answered lately and serves calls. */
  Serving,
  /** It answered lately but serves no calls or is about to stop. */
  NotServing,
  /** It did not answer for several heartbeats. */
  Unresponsive,
};

std::string_view HostStatusName(HostStatus aStatus);

/** Keeps what other hosts said of themselves and when. */
class MembershipView {
 public:
  /** Another host answered or sent a heartbeat. */
  void NoteHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow);

  /** A heartbeat to another host failed. */
  void NoteMissedHeartbeat(const std::string& aHost);

  [[nodiscard]] HostStatus StatusOf(const std::string& aHost,
                                    TimePoint aNow) const;

  /** The last heartbeat of a host and when it came. */
  struct LastHeartbeat {
    Heartbeat mHeartbeat;
    TimePoint mAt;
    std::uint32_t mMisses = 0;
  };
  [[nodiscard]] const LastHeartbeat* LastHeartbeatOf(
      const std::string& aHost) const;

  /** Forgets everything, after a pause that made it worthless. */
  void Clear() { mHosts.clear(); }

  /** Sets the time between two heartbeats with one host. */
  void SetPeriod(Duration aPeriod) { mPeriod = aPeriod; }

 private:
  std::map<std::string, LastHeartbeat> mHosts;
  Duration mPeriod = std::chrono::seconds(1);
};

}  // namespace papayawheel
