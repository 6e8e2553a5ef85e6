#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace papayawheel {

/** Position of a value among all that its writer wrote at one key. It comes
 * from the value itself, so that it also orders values that a restored store
 * lost. */
struct WriteOrder {
  /** Increases with each start of the writer. */
  std::int64_t mIncarnation = 0;
  /** Increases with each write within an incarnation. */
  std::int64_t mNumber = 0;

  // The linter takes the zero of the generated comparison for a null pointer.
  auto operator<=>(const WriteOrder&) const = default;  // NOLINT
};

/** Reads the order of a value; empty if the value does not tell. */
using WriteOrderReader = std::function<std::optional<WriteOrder>(
    const std::string& aKey, const std::string& aValue)>;

}  // namespace papayawheel
