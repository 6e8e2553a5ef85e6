#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <random>

namespace papayawheel {

/** Open-loop load: a Poisson process of requests, which does not wait for the
 * answers to earlier ones. */
class Arrivals {
 public:
  /** @param aRandom the random engine of the program; must outlive this. */
  Arrivals(asio::io_context& aContext, std::mt19937& aRandom,
           double aRatePerSecond);

  /** Starts the load. Later calls do nothing.
   * @param aLength how long requests arrive.
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
