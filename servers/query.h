#pragma once

#include <cstdint>
#include <string>

namespace papayawheel {

/** Returns the target without its query. */
std::string PathOf(const std::string& aTarget);

/** Returns a field of the target's query; empty if it is absent. The value is
 * not percent-decoded, since values in the targets that this is used for need
 * no encoding. */
std::string QueryField(const std::string& aTarget, const std::string& aName);

/** Returns a whole-number field; 0 if it is absent or malformed. */
std::uint64_t QueryNumber(const std::string& aTarget, const std::string& aName);

}  // namespace papayawheel
