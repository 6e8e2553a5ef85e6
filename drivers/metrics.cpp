#include "drivers/metrics.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/histogram.hpp>
#include <iterator>

namespace papayawheel {
namespace {

namespace histogram = boost::histogram;

constexpr int kBins = 48;
constexpr double kMinSeconds = 20e-6;
constexpr double kMaxSeconds = 20;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage =
    histogram::dense_storage<histogram::accumulators::thread_safe<unsigned>>;

auto MakeHistogram() {
  return histogram::make_histogram_with(Storage(),
                                        Axis(kBins, kMinSeconds, kMaxSeconds));
}

using Histogram = decltype(MakeHistogram());

double ToSeconds(std::chrono::microseconds aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

std::string RenderHistogram(const std::string& aName, const std::string& aHelp,
                            const Histogram& aHistogram, double aSum) {
  std::string text;
  auto out = std::back_inserter(text);
  fmt::format_to(out, "# HELP {} {}\n# TYPE {} histogram\n", aName, aHelp,
                 aName);
  const auto& axis = aHistogram.axis(0);
  std::uint64_t count = aHistogram.at(-1);
  for (int bin = 0; bin < axis.size(); ++bin) {
    count += aHistogram.at(bin);
    fmt::format_to(out, "{}_bucket{{le=\"{:.6g}\"}} {}\n", aName,
                   axis.bin(bin).upper(), count);
  }
  count += aHistogram.at(axis.size());
  fmt::format_to(out, "{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n",
                 aName, count, aName, aSum, aName, count);
  return text;
}

}  // namespace

class LatencyMetrics::Impl {
 public:
  Histogram mTotal = MakeHistogram();
  Histogram mAdded = MakeHistogram();
  std::atomic<std::int64_t> mTotalMicros{0};
  std::atomic<std::int64_t> mAddedMicros{0};
};

LatencyMetrics::LatencyMetrics() : mImpl(std::make_unique<Impl>()) {}

LatencyMetrics::~LatencyMetrics() = default;

void LatencyMetrics::Add(std::chrono::microseconds aTotal,
                         std::chrono::microseconds aAdded) {
  mImpl->mTotal(ToSeconds(aTotal));
  mImpl->mAdded(ToSeconds(aAdded));
  mImpl->mTotalMicros += aTotal.count();
  mImpl->mAddedMicros += aAdded.count();
}

std::string LatencyMetrics::Render() const {
  return RenderHistogram(
             "papayawheel_call_seconds",
             "Time from the arrival of a request to its answer.", mImpl->mTotal,
             ToSeconds(std::chrono::microseconds(mImpl->mTotalMicros))) +
         RenderHistogram(
             "papayawheel_added_seconds",
             "Part of that time that was not spent at an endpoint.",
             mImpl->mAdded,
             ToSeconds(std::chrono::microseconds(mImpl->mAddedMicros)));
}

std::string RenderMetric(const std::string& aName, const std::string& aType,
                         const std::string& aHelp, double aValue) {
  return fmt::format("# HELP {} {}\n# TYPE {} {}\n{} {}\n", aName, aHelp, aName,
                     aType, aName, aValue);
}

std::string RenderCounter(const std::string& aName, const std::string& aHelp,
                          std::uint64_t aValue) {
  return RenderMetric("papayawheel_" + aName, "counter", aHelp,
                      static_cast<double>(aValue));
}

}  // namespace papayawheel
