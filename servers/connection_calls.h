#pragma once

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/entry/call.h"

namespace papayawheel {

/** Keeps the unanswered calls of each caller connection. */
class ConnectionCalls {
 public:
  void Add(std::uint64_t aConnection, CallId aCall) {
    mCalls[aConnection].insert(aCall);
  }

  /** Removes a call, since it was answered. */
  void Remove(std::uint64_t aConnection, CallId aCall) {
    const auto found = mCalls.find(aConnection);
    if (found == mCalls.end()) {
      return;
    }
    found->second.erase(aCall);
    if (found->second.empty()) {
      mCalls.erase(found);
    }
  }

  /** Removes a closed connection and returns its unanswered calls. */
  std::unordered_set<CallId> Take(std::uint64_t aConnection) {
    auto node = mCalls.extract(aConnection);
    return node.empty() ? std::unordered_set<CallId>{}
                        : std::move(node.mapped());
  }

 private:
  std::unordered_map<std::uint64_t, std::unordered_set<CallId>> mCalls;
};

}  // namespace papayawheel
