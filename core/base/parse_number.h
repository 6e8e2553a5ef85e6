#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace papayawheel {

/** Reads a text that is a whole number and nothing else. */
template <typename Number>
std::optional<Number> ParseNumber(std::string_view aText, int aBase = 10) {
  Number number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, fault] = std::from_chars(aText.data(), end, number, aBase);
  if (fault != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace papayawheel
