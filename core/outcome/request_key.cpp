#include "core/outcome/request_key.h"

#include <fmt/format.h>

#include <string_view>

#include "core/base/parse_number.h"

namespace papayawheel {
namespace {

/** In bytes. */
constexpr std::size_t kMaxKeyLength = 256;

/** Limits the issue time, so that its sum with the start time of a process
 * cannot overflow. */
constexpr std::uint64_t kMaxIssuedSeconds = 1'000'000'000;

/** Removes and returns the text before the next dot, and the dot. Returns
 * nothing if there is no dot or no text before it. */
std::optional<std::string_view> TakeField(std::string_view& aRest) {
  const std::size_t dot = aRest.find('.');
  if (dot == std::string_view::npos || dot == 0) {
    return std::nullopt;
  }
  const std::string_view field = aRest.substr(0, dot);
  aRest.remove_prefix(dot + 1);
  return field;
}

}  // namespace

std::string WriteKeyPrefix(const std::string& aHost, std::uint64_t aIncarnation,
                           std::chrono::seconds aIssuedAt) {
  return fmt::format("{}.{:x}.{}.", aHost, aIncarnation, aIssuedAt.count());
}

std::optional<RequestKey> ParseRequestKey(const std::string& aText) {
  if (aText.size() > kMaxKeyLength) {
    return std::nullopt;
  }
  std::string_view rest = aText;
  const auto host = TakeField(rest);
  const auto incarnation = TakeField(rest);
  const auto issuedAt = TakeField(rest);
  if (!host || !incarnation || !issuedAt || rest.empty()) {
    return std::nullopt;
  }
  const auto incarnationNumber = ParseNumber<std::uint64_t>(*incarnation, 16);
  const auto issuedSeconds = ParseNumber<std::uint64_t>(*issuedAt);
  if (!incarnationNumber || !issuedSeconds ||
      *issuedSeconds > kMaxIssuedSeconds) {
    return std::nullopt;
  }
  return RequestKey{
      std::string(*host), *incarnationNumber,
      std::chrono::seconds(static_cast<std::int64_t>(*issuedSeconds)),
      std::string(rest)};
}

}  // namespace papayawheel
