#pragma once

#include <asio/io_context.hpp>
#include <string>

#include "drivers/http_server.h"

namespace papayawheel {

/** Serves HTTP at an address until the context is stopped.
 * @param aAddress IP number and port; must be valid.
 * @return the exit code of the program. A failure to listen is logged. */
int ServeStandIn(asio::io_context& aContext, const std::string& aAddress,
                 HttpServer::Handler aHandler,
                 HttpServer::ClosedHandler aClosedHandler = {});

}  // namespace papayawheel
