#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace papayawheel {

/** Identifies a request that must run at most once. A caller appends its own
 * unique text to a prefix issued by a host; the prefix names the one process
 * that may run the request. */
struct RequestKey {
  /** The host that owns the key. */
  std::string mHost;
  /** The process on that host: a random number generated at its start. */
  std::uint64_t mIncarnation = 0;
  /** Time at which the prefix was issued, counted from the start of that
   * process. */
  std::chrono::seconds mIssuedAt{0};
  /** The text appended by the caller. */
  std::string mUnique;
};

/** Formats the prefix of the keys that a process owns; it ends in a dot. */
std::string WriteKeyPrefix(const std::string& aHost, std::uint64_t aIncarnation,
                           std::chrono::seconds aIssuedAt);

/** Parses a complete key; empty if it is malformed. */
std::optional<RequestKey> ParseRequestKey(const std::string& aText);

}  // namespace papayawheel
