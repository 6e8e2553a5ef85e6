#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/base/clock.h"
#include "core/routes/route.h"

namespace papayawheel {

/** Quantiles of the latencies of recent attempts, by route and service. Holds
 * one histogram for each pair, in which the weight of a latency halves at a
 * fixed interval. */
class LatencyQuantiles {
 public:
  LatencyQuantiles();
  ~LatencyQuantiles();
  LatencyQuantiles(const LatencyQuantiles&) = delete;
  LatencyQuantiles& operator=(const LatencyQuantiles&) = delete;

  void Note(const std::string& aRoute, const std::string& aService,
            Duration aLatency, TimePoint aNow);

  /** Returns a latency that the given fraction of recent attempts did not
   * exceed; nothing while there are too few of them.
   * @param aFraction from 0 to 1. */
  [[nodiscard]] std::optional<Duration> Quantile(const std::string& aRoute,
                                                 const std::string& aService,
                                                 double aFraction,
                                                 TimePoint aNow) const;

  /** Drops the histograms of pairs that the configuration does not contain. */
  void Prune(const RoutingConfiguration& aConfiguration);

  /** Number of histograms. */
  [[nodiscard]] std::size_t Size() const { return mSeries.size(); }

 private:
  using Key = std::pair<std::string, std::string>;
  class Series;

  std::map<Key, std::unique_ptr<Series>> mSeries;
};

}  // namespace papayawheel
