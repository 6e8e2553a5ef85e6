#include "core/config/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace papayawheel {

std::optional<Address> ParseAddress(const std::string& aText) {
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Address address;
  address.mIp = aText.substr(0, colon);
  in_addr number{};
  if (inet_pton(AF_INET, address.mIp.c_str(), &number) != 1) {
    return std::nullopt;
  }
  const char* const end = aText.data() + aText.size();
  const auto [rest, fault] =
      std::from_chars(aText.data() + colon + 1, end, address.mPort);
  if (fault != std::errc() || rest != end || address.mPort == 0) {
    return std::nullopt;
  }
  return address;
}

bool IsAddress(const std::string& aText) {
  return ParseAddress(aText).has_value();
}

}  // namespace papayawheel
