#include "servers/caller_limit_counts.h"

#include "drivers/metrics.h"

namespace papayawheel {

std::string RenderCallerLimitCounts(
    const std::string& aPrefix,
    const std::vector<const HttpServer*>& aServers) {
  HttpServerCounts sum;
  std::size_t connections = 0;
  for (const HttpServer* const server : aServers) {
    const HttpServerCounts& counts = server->Counts();
    sum.mTooLarge += counts.mTooLarge;
    sum.mNoRoom += counts.mNoRoom;
    sum.mTooSlow += counts.mTooSlow;
    sum.mEvicted += counts.mEvicted;
    sum.mTooMany += counts.mTooMany;
    sum.mUnread += counts.mUnread;
    connections += server->Connections();
  }
  const std::size_t held = aServers.empty() ? 0 : aServers.front()->HeldBytes();
  return RenderMetric("papayawheel_" + aPrefix + "held_bytes", "gauge",
                      "Bytes held for connected callers.",
                      static_cast<double>(held)) +
         RenderMetric("papayawheel_" + aPrefix + "connections", "gauge",
                      "Open connections of callers.",
                      static_cast<double>(connections)) +
         RenderCounter(aPrefix + "bodies_too_large_total",
                       "Requests refused with 413.", sum.mTooLarge) +
         RenderCounter(aPrefix + "no_room_total",
                       "Requests refused with 503 for lack of memory.",
                       sum.mNoRoom) +
         RenderCounter(aPrefix + "too_slow_total", "Requests refused with 408.",
                       sum.mTooSlow) +
         RenderCounter(aPrefix + "evicted_total",
                       "Connections closed to make room for others.",
                       sum.mEvicted) +
         RenderCounter(aPrefix + "too_many_connections_total",
                       "Connections closed because there were too many.",
                       sum.mTooMany) +
         RenderCounter(aPrefix + "unread_answers_total",
                       "Connections closed because an answer was not read.",
                       sum.mUnread);
}

}  // namespace papayawheel
