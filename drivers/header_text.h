#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "core/outcome/response.h"

namespace papayawheel {

/** Whether two header names are equal, ignoring case. */
bool IsSameName(std::string_view aLeft, std::string_view aRight);

/** The value of the first header with a name; empty if there is none. */
std::optional<std::string> FindHeader(const HeaderList& aHeaders,
                                      std::string_view aName);

/** Parses the timeout of a Keep-Alive header; empty if it states none. */
std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    std::string_view aValue);

/** Whether a message is sent in chunks or as it is. Other transfer codings are
 * not decoded. */
bool IsTransferCodingKnown(const HeaderList& aHeaders);

/** Returns the end-to-end headers: all but the hop-by-hop headers of HTTP and
 * those that the Connection header lists. */
HeaderList EndToEndHeaders(const HeaderList& aHeaders);

}  // namespace papayawheel
