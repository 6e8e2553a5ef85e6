#include "servers/query.h"

#include <charconv>

namespace papayawheel {

std::string PathOf(const std::string& aTarget) {
  return aTarget.substr(0, aTarget.find('?'));
}

std::string QueryField(const std::string& aTarget, const std::string& aName) {
  std::size_t start = aTarget.find('?');
  while (start != std::string::npos) {
    const std::size_t end = aTarget.find('&', start + 1);
    const std::string field = aTarget.substr(
        start + 1, end == std::string::npos ? end : end - start - 1);
    if (field.starts_with(aName + "=")) {
      return field.substr(aName.size() + 1);
    }
    start = end;
  }
  return "";
}

std::uint64_t QueryNumber(const std::string& aTarget,
                          const std::string& aName) {
  const std::string text = QueryField(aTarget, aName);
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, fault] = std::from_chars(text.data(), end, number);
  return fault == std::errc() && rest == end ? number : 0;
}

}  // namespace papayawheel
