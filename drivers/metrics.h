#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace papayawheel {

/** Latency histograms. Thread-safe. */
class LatencyMetrics {
 public:
  LatencyMetrics();
  ~LatencyMetrics();
  LatencyMetrics(const LatencyMetrics&) = delete;
  LatencyMetrics& operator=(const LatencyMetrics&) = delete;

  /** Adds one answered call.
   * @param aTotal time from the arrival of the request to its answer.
   * @param aAdded the part of that time that was not spent at the endpoint. */
  void Add(std::chrono::microseconds aTotal, std::chrono::microseconds aAdded);

  /** Renders the histograms in the Prometheus text format. */
  [[nodiscard]] std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Renders one counter or gauge in the Prometheus text format. */
std::string RenderMetric(const std::string& aName, const std::string& aType,
                         const std::string& aHelp, double aValue);

/** Renders one counter.
 * @param aName name without the prefix "papayawheel_". */
std::string RenderCounter(const std::string& aName, const std::string& aHelp,
                          std::uint64_t aValue);

}  // namespace papayawheel
