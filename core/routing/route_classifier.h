#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"

namespace papayawheel {

/** Learns from finished calls which kinds of requests run long. A kind is a
 * customer, a method and a path without its query. The kinds seen least
 * recently are forgotten. */
class RouteClassifier {
 public:
  /** Names the kind of a request. */
  static std::uint64_t KindOf(const std::string& aCustomer,
                              const std::string& aMethod,
                              const std::string& aTarget);

  /** A call of this kind took this time at its endpoint. */
  void NoteDuration(std::uint64_t aKind, Duration aElapsed);

  /** Whether calls of this kind take many times the typical time. A kind that
   * has not been seen counts as short. */
  [[nodiscard]] bool IsLong(std::uint64_t aKind, Duration aMedianTime) const;

 private:
  struct Kind {
    Duration mMean{0};
    std::list<std::uint64_t>::iterator mRecentPosition;
  };

  std::unordered_map<std::uint64_t, Kind> mKinds;
  /** The kind seen last stands first. */
  std::list<std::uint64_t> mRecent;
};

}  // namespace papayawheel
