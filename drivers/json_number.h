#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace papayawheel {

/** Returns an integer of a document that another program wrote. The library
 * converts any number, which is undefined for one that does not fit.
 * @throws std::out_of_range if it is no integer or does not fit the type. */
template <typename Integer>
Integer ParseInteger(const nlohmann::json& aNumber) {
  if (!aNumber.is_number_integer()) {
    throw std::out_of_range("not an integer");
  }
  const bool fits = aNumber.is_number_unsigned()
                        ? std::in_range<Integer>(aNumber.get<std::uint64_t>())
                        : std::in_range<Integer>(aNumber.get<std::int64_t>());
  if (!fits) {
    throw std::out_of_range("integer out of range");
  }
  return aNumber.get<Integer>();
}

}  // namespace papayawheel
