#pragma once

#include <optional>
#include <string>

namespace papayawheel {

/** Standard base64 with padding. */
std::string EncodeBase64(const std::string& aBytes);

/** Reads standard base64; nothing if the text is none. */
std::optional<std::string> DecodeBase64(std::string aText);

}  // namespace papayawheel
