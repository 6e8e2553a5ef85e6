#include "standins/arrivals.h"

#include <utility>

namespace papayawheel {

using std::chrono::steady_clock;

Arrivals::Arrivals(asio::io_context& aContext, std::mt19937& aRandom,
                   double aRatePerSecond)
    : mTimer(aContext), mRandom(aRandom), mRatePerSecond(aRatePerSecond) {}

void Arrivals::Begin(std::chrono::milliseconds aLength,
                     std::function<void()> aOnArrival,
                     std::function<void()> aOnEnd) {
  if (mBegun) {
    return;
  }
  mBegun = true;
  mOnArrival = std::move(aOnArrival);
  mOnEnd = std::move(aOnEnd);
  mNext = steady_clock::now();
  mEnd = mNext + aLength;
  ScheduleNext();
}

void Arrivals::ScheduleNext() {
  std::exponential_distribution<double> gap(mRatePerSecond);
  mNext += std::chrono::duration_cast<steady_clock::duration>(
      std::chrono::duration<double>(gap(mRandom)));
  if (mNext >= mEnd) {
    mOnEnd();
    return;
  }
  mTimer.expires_at(mNext);
  mTimer.async_wait([this](asio::error_code) {
    mOnArrival();
    ScheduleNext();
  });
}

}  // namespace papayawheel
