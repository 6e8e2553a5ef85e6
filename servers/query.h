#pragma once

#include <cstdint>
#include <string>

namespace papayawheel {

/** The target without its query. */
std::string PathOf(const std::string& aTarget);

/** A field of the target's query, empty if it is absent. The values that the
 * project's own targets take need no percent-encoding. */
std::string QueryField(const std::string& aTarget, const std::string& aName);

/** A field that is a whole number; 0 if it is absent or malformed. */
std::uint64_t QueryNumber(const std::string& aTarget, const std::string& aName);

}  // namespace papayawheel
