#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace papayawheel {

/** Histograms of latencies, safe for use by several threads. */
class LatencyMetrics {
 public:
  LatencyMetrics();
  ~LatencyMetrics();
  LatencyMetrics(const LatencyMetrics&) = delete;
  LatencyMetrics& operator=(const LatencyMetrics&) = delete;

  /** Adds one answered call.
   * @param aTotal from the arrival of the request to its answer.
   * @param aAdded the part of it that was not spent at the endpoint. */
  void Add(std::chrono::microseconds aTotal, std::chrono::microseconds aAdded);

  /** The text exposition format. */
  [[nodiscard]] std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Renders one counter or gauge in the text exposition format. */
std::string RenderMetric(const std::string& aName, const std::string& aType,
                         const std::string& aHelp, double aValue);

/** Renders one counter of this product.
 * @param aName follows the product's prefix. */
std::string RenderCounter(const std::string& aName, const std::string& aHelp,
                          std::uint64_t aValue);

}  // namespace papayawheel
