#include "servers/query.h"

#include "core/base/parse_number.h"

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
  return ParseNumber<std::uint64_t>(QueryField(aTarget, aName)).value_or(0);
}

}  // namespace papayawheel
