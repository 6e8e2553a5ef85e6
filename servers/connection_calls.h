#pragma once

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/entry/call.h"

namespace papayawheel {

/** The calls of each connection that are not answered yet. */
class ConnectionCalls {
 public:
  void Add(std::uint64_t aConnection, CallId aCall) {
    mCalls[aConnection].insert(aCall);
  }

  /** A call was answered. */
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

  /** The connection was closed: hands its calls over. */
  std::unordered_set<CallId> Take(std::uint64_t aConnection) {
    auto node = mCalls.extract(aConnection);
    return node.empty() ? std::unordered_set<CallId>{}
                        : std::move(node.mapped());
  }

 private:
  std::unordered_map<std::uint64_t, std::unordered_set<CallId>> mCalls;
};

}  // namespace papayawheel
