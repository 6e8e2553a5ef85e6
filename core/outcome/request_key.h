#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace papayawheel {

/** Names one request that must run at most once. A caller appends its own
 * unique text to a prefix that the system handed out; the prefix names the one
 * process that may run the request. */
struct RequestKey {
  /** The host that owns the key. */
  std::string mHost;
  /** The process on that host, a random number drawn at its start. */
  std::uint64_t mIncarnation = 0;
  /** When the prefix was handed out, since the start of that process. */
  std::chrono::seconds mIssuedAt{0};
  /** The caller's part. */
  std::string mUnique;
};

/** The prefix of keys that a process owns, ending in a dot. */
std::string WriteKeyPrefix(const std::string& aHost, std::uint64_t aIncarnation,
                           std::chrono::seconds aIssuedAt);

/** Reads a whole key; nothing when it is malformed. */
std::optional<RequestKey> ParseRequestKey(const std::string& aText);

}  // namespace papayawheel
