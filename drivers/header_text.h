#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "core/outcome/response.h"

namespace papayawheel {

/** Whether two header names are the same; case does not count. */
bool IsSameName(std::string_view aLeft, std::string_view aRight);

/** The value of the first header with a name. */
std::optional<std::string> FindHeader(const HeaderList& aHeaders,
                                      std::string_view aName);

/** The timeout that a Keep-Alive header states. */
std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    std::string_view aValue);

/** The headers that concern more than one connection: without those that HTTP
 * defines for a single connection and those that the Connection header names.
 */
HeaderList EndToEndHeaders(const HeaderList& aHeaders);

}  // namespace papayawheel
