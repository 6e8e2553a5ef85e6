#pragma once

#include <asio/io_context.hpp>
#include <string_view>

namespace papayawheel {

/** Runs an I/O context until it is stopped. An exception from a handler is
 * logged and does not stop the other handlers.
 * @param aThread name of the thread, for logs. */
void RunGuarded(asio::io_context& aContext, std::string_view aThread);

}  // namespace papayawheel
