#pragma once

#include <algorithm>

namespace papayawheel {

/** Allows retries only as a share of recent calls, so that retries cannot
 * multiply the load on servers that are failing. */
class RetryBudget {
 public:
  /** A first attempt was made. */
  void NoteCall() { mTokens = std::min(mTokens + kRetriesPerCall, kMaxTokens); }

  /** Takes one retry if the budget allows. */
  bool TryTake() {
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

 private:
  static constexpr double kRetriesPerCall = 0.2;
  static constexpr double kMaxTokens = 20;

  double mTokens = kMaxTokens;
};

}  // namespace papayawheel
