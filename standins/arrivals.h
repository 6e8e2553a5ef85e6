#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <random>

namespace papayawheel {

/** Open-loop load: requests arrive at random, at a mean rate and independent of
 * each other, whether or not earlier ones were answered. */
class Arrivals {
 public:
  /** @param aRandom is shared with what else the caller draws. */
  Arrivals(asio::io_context& aContext, std::mt19937& aRandom,
           double aRatePerSecond);

  /** Starts the load; only the first call counts.
   * @param aOnArrival runs for each request.
   * @param aOnEnd runs once, after the last request. */
  void Begin(std::chrono::milliseconds aLength,
             std::function<void()> aOnArrival, std::function<void()> aOnEnd);

 private:
  void ScheduleNext();

  asio::steady_timer mTimer;
  std::mt19937& mRandom;
  double mRatePerSecond;
  bool mBegun = false;
  std::chrono::steady_clock::time_point mNext;
  std::chrono::steady_clock::time_point mEnd;
  std::function<void()> mOnArrival;
  std::function<void()> mOnEnd;
};

}  // namespace papayawheel
