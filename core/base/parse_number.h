#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace papayawheel {

/** Parses a number. Returns nothing if the text is not a number, has other
 * characters after it, or is out of range for the type.
 * @param aBase base of integers; floating-point numbers are always decimal. */
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
  const auto [rest, error] = result;
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace papayawheel
