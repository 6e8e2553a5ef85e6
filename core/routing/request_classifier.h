#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"

namespace papayawheel {

/** Learns from finished calls which kinds of requests run long. A kind is a
 * customer, a method and a path without its query. The number of kinds is
 * bounded; the least recently seen are evicted. */
class RequestClassifier {
 public:
  /** Returns a hash that identifies the kind of a request. */
  static std::uint64_t KindOf(const std::string& aCustomer,
                              const std::string& aMethod,
                              const std::string& aTarget);

  /** Records the time that a call of a kind took at its endpoint. */
  void NoteDuration(std::uint64_t aKind, Duration aElapsed);

  /** Whether calls of a kind take several times as long as the median call. An
   * unknown kind counts as short. */
  [[nodiscard]] bool IsLong(std::uint64_t aKind, Duration aMedianTime) const;

 private:
  struct Kind {
    Duration mMean{0};
    std::list<std::uint64_t>::iterator mRecentPosition;
  };

  std::unordered_map<std::uint64_t, Kind> mKinds;
  /** Kinds, the most recently seen first. */
  std::list<std::uint64_t> mRecent;
};

}  // namespace papayawheel
