#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace papayawheel {

/** Reads a text that is a number and nothing else.
 * @param aBase of whole numbers; decimal numbers are always to the base 10. */
template <typename Number>
std::optional<Number> ParseNumber(std::string_view aText, int aBase = 10) {
  Number number = 0;
  const char* const end = aText.data() + aText.size();
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<Number>) {
    result = std::from_chars(aText.data(), end, number);
  } else {
    result = std::from_chars(aText.data(), end, number, aBase);
  }
  const auto [rest, fault] = result;
  if (fault != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace papayawheel
