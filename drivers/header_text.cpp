#include "drivers/header_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

#include "core/base/parse_number.h"

namespace papayawheel {
namespace {

/** The headers of a single connection, and those that each hop sets itself. */
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "proxy-authenticate",
    "proxy-authorization",
};

std::string_view Trim(std::string_view aText) {
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> SplitTokens(std::string_view aText) {
  std::vector<std::string_view> tokens;
  while (!aText.empty()) {
    const std::size_t comma = std::min(aText.find(','), aText.size());
    tokens.push_back(Trim(aText.substr(0, comma)));
    aText.remove_prefix(std::min(comma + 1, aText.size()));
  }
  return tokens;
}

}  // namespace

bool IsSameName(std::string_view aLeft, std::string_view aRight) {
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

std::optional<std::string> FindHeader(const HeaderList& aHeaders,
                                      std::string_view aName) {
  for (const auto& [name, value] : aHeaders) {
    if (IsSameName(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    std::string_view aValue) {
  constexpr std::string_view kName = "timeout=";
  for (const std::string_view token : SplitTokens(aValue)) {
    if (token.starts_with(kName)) {
      const auto number = ParseNumber<std::int64_t>(token.substr(kName.size()));
      if (number) {
        return std::chrono::seconds(*number);
      }
    }
  }
  return std::nullopt;
}

bool IsTransferCodingKnown(const HeaderList& aHeaders) {
  return std::all_of(aHeaders.begin(), aHeaders.end(), [](const auto& aHeader) {
    const auto& [name, value] = aHeader;
    const std::string_view coding = Trim(value);
    return !IsSameName(name, "transfer-encoding") ||
           IsSameName(coding, "chunked") || IsSameName(coding, "identity");
  });
}

HeaderList EndToEndHeaders(const HeaderList& aHeaders) {
  std::vector<std::string_view> dropped(kHopByHopHeaders.begin(),
                                        kHopByHopHeaders.end());
  for (const auto& [name, value] : aHeaders) {
    if (IsSameName(name, "connection")) {
      const auto named = SplitTokens(value);
      dropped.insert(dropped.end(), named.begin(), named.end());
    }
  }
  HeaderList kept;
  for (const auto& header : aHeaders) {
    const bool drop = std::any_of(dropped.begin(), dropped.end(),
                                  [&header](std::string_view aName) {
                                    return IsSameName(header.first, aName);
                                  });
    if (!drop) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace papayawheel
