#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace papayawheel {

/** An IPv4 address and a port. */
struct Address {
  std::string mIp;
  std::uint16_t mPort = 0;
};

/** Parses an address such as "10.0.0.7:8080"; empty if it is malformed or the
 * port is 0. */
std::optional<Address> ParseAddress(const std::string& aText);

/** Whether ParseAddress() accepts the text. */
bool IsAddress(const std::string& aText);

}  // namespace papayawheel
