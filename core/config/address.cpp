#include "core/config/address.h"

#include <arpa/inet.h>

#include <string_view>

#include "core/base/parse_number.h"

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
  const auto port =
      ParseNumber<std::uint16_t>(std::string_view(aText).substr(colon + 1));
  if (!port || *port == 0) {
    return std::nullopt;
  }
  address.mPort = *port;
  return address;
}

bool IsAddress(const std::string& aText) {
  return ParseAddress(aText).has_value();
}

}  // namespace papayawheel
