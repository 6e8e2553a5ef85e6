#pragma once

#include <optional>
#include <string>

namespace papayawheel {

/** Encodes bytes as standard base64 with padding. */
std::string EncodeBase64(const std::string& aBytes);

/** Decodes standard base64, with or without padding; empty if the text is
 * invalid. */
std::optional<std::string> DecodeBase64(std::string aText);

}  // namespace papayawheel
