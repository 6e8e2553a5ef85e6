#include "core/gateway/latency_quantiles.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <set>

namespace papayawheel {
namespace {

namespace histogram = boost::histogram;

using std::chrono::seconds;

/** Bounds of the histogram in microseconds. With these bins, a quantile is at
 * most 6 % above the exact one. */
constexpr int kBins = 240;
constexpr double kMinMicros = 1e2;
constexpr double kMaxMicros = 1e8;

/** Time in which the weight of a latency halves. */
constexpr seconds kHalfLife{60};

/** Interval at which the weights are reduced. */
constexpr seconds kAgeingInterval{1};

/** Minimum total weight for a quantile. With fewer attempts, a high quantile
 * would be the latency of the one slowest attempt. */
constexpr double kMinWeight = 20;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto MakeHistogram() {
  return histogram::make_histogram_with(histogram::dense_storage<double>(),
                                        Axis(kBins, kMinMicros, kMaxMicros));
}

double AgeingFactor(TimePoint::duration aPassed) {
  return std::exp2(-std::chrono::duration<double>(aPassed) / kHalfLife);
}

}  // namespace

/** The histogram of one route and service. */
class LatencyQuantiles::Series {
 public:
  explicit Series(TimePoint aNow) : mAgedAt(aNow) {}

  void Note(Duration aLatency, TimePoint aNow) {
    if (aNow - mAgedAt >= kAgeingInterval) {
      mHistogram *= AgeingFactor(aNow - mAgedAt);
      mAgedAt = aNow;
    }
    mHistogram(static_cast<double>(aLatency.count()));
  }

  [[nodiscard]] std::optional<Duration> Quantile(double aFraction,
                                                 TimePoint aNow) const {
    const double total = histogram::algorithm::sum(mHistogram);
    if (total * AgeingFactor(aNow - mAgedAt) < kMinWeight) {
      return std::nullopt;
    }
    double below = mHistogram.at(-1);
    int bin = 0;
    while (bin < kBins && below + mHistogram.at(bin) < aFraction * total) {
      below += mHistogram.at(bin);
      ++bin;
    }
    const double upper =
        bin < kBins ? mHistogram.axis().bin(bin).upper() : kMaxMicros;
    return Duration(static_cast<std::int64_t>(std::ceil(upper)));
  }

 private:
  decltype(MakeHistogram()) mHistogram = MakeHistogram();
  TimePoint mAgedAt;
};

LatencyQuantiles::LatencyQuantiles() = default;
LatencyQuantiles::~LatencyQuantiles() = default;

void LatencyQuantiles::Note(const std::string& aRoute,
                            const std::string& aService, Duration aLatency,
                            TimePoint aNow) {
  std::unique_ptr<Series>& series = mSeries[Key(aRoute, aService)];
  if (series == nullptr) {
    series = std::make_unique<Series>(aNow);
  }
  series->Note(aLatency, aNow);
}

std::optional<Duration> LatencyQuantiles::Quantile(const std::string& aRoute,
                                                   const std::string& aService,
                                                   double aFraction,
                                                   TimePoint aNow) const {
  const auto found = mSeries.find(Key(aRoute, aService));
  if (found == mSeries.end()) {
    return std::nullopt;
  }
  return found->second->Quantile(aFraction, aNow);
}

void LatencyQuantiles::Prune(const RoutingConfiguration& aConfiguration) {
  std::set<Key> published;
  for (const Route& route : aConfiguration.mRoutes) {
    for (const ServiceShare& share : route.mShares) {
      published.emplace(route.mName, share.mService);
    }
  }
  std::erase_if(mSeries, [&published](const auto& aEntry) {
    return !published.contains(aEntry.first);
  });
}

}  // namespace papayawheel
