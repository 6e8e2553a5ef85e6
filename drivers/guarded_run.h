#pragma once

#include <asio/io_context.hpp>
#include <string_view>

namespace papayawheel {

/** Runs an I/O context until it is stopped. A handler that throws is logged and
 * ends alone; the others run on.
 * @param aThread for logs. */
void RunGuarded(asio::io_context& aContext, std::string_view aThread);

}  // namespace papayawheel
