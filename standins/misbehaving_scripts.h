#pragma once

#include <chrono>
#include <string>

namespace papayawheel {

/** What is sent in answer to one request. */
struct AnswerScript {
  std::string mText;
  /** Whether to close the connection afterwards. */
  bool mClose = false;
  /** Sent repeatedly after mText until the peer closes the connection; empty
   * for nothing. */
  std::string mEndless = {};
  /** Pause before each repetition of mEndless. */
  std::chrono::milliseconds mPause{0};
  /** Whether to reset the connection afterwards. */
  bool mReset = false;
};

/** The violation that a request target selects; a whole answer that names the
 * target if it selects none. */
AnswerScript ScriptFor(const std::string& aTarget);

}  // namespace papayawheel
