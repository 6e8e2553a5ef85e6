#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace papayawheel {

/** An IP number and a port. */
struct Address {
  std::string mIp;
  std::uint16_t mPort = 0;
};

/** Reads an address such as "10.0.0.7:8080"; nothing when it is malformed. */
std::optional<Address> ParseAddress(const std::string& aText);

/** Whether ParseAddress() accepts the text. */
bool IsAddress(const std::string& aText);

}  // namespace papayawheel
