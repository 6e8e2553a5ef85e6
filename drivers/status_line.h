#pragma once

#include <cstddef>

namespace papayawheel {

/** Whether an answer with this status has no body, whatever its fields say. */
bool ExcludesBody(int aStatus);

/** Checks the status line of an HTTP answer as its bytes arrive. The line must
 * begin with the name of the protocol in capitals, and the status must be three
 * digits from 100 to 599; the HTTP libraries accept others. */
class StatusLineCheck {
 public:
  /** Checks the next byte. Returns false once the status is invalid. */
  bool Feed(char aByte);

  /** Whether the end of the line has been read. */
  [[nodiscard]] bool IsComplete() const { return mState == State::Complete; }
  /** Whether the status that was read is that of an interim answer. */
  [[nodiscard]] bool IsInterim() const { return mIsInterim; }

 private:
  enum class State {
    Start,
    Version,
    Status,
    Reason,
    /** After the carriage return. */
    LineEnd,
    Complete,
    Invalid,
  };

  [[nodiscard]] State Next(char aByte);
  [[nodiscard]] State NextInVersion(char aByte);
  [[nodiscard]] State NextInStatus(char aByte);
  static State NextInReason(char aByte);

  State mState = State::Start;
  std::size_t mNameBytes = 0;
  std::size_t mDigits = 0;
  bool mIsInterim = false;
};

}  // namespace papayawheel
