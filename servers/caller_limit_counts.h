#pragma once

#include <string>
#include <vector>

#include "drivers/http_server.h"

namespace papayawheel {

/** Renders what the servers of one thread refused, closed and hold.
 * @param aPrefix begins the names of the metrics. */
std::string RenderCallerLimitCounts(
    const std::string& aPrefix, const std::vector<const HttpServer*>& aServers);

}  // namespace papayawheel
