#pragma once

#include <algorithm>

namespace papayawheel {

/** Limits retries to a share of recent calls, so that retries cannot multiply
 * the load on failing endpoints. */
class RetryBudget {
 public:
  /** Records a call's first attempt. */
  void NoteCall() { mTokens = std::min(mTokens + kRetriesPerCall, kMaxTokens); }

  /** Spends one retry. Returns false, spending nothing, if none is left. */
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
