#pragma once

#include <string_view>

namespace papayawheel {

/** Checks the field lines of the head or the trailers of an HTTP answer as
 * their bytes arrive, up to the empty line that ends them. The HTTP libraries
 * accept blanks in names, some control bytes in values, and other bytes than a
 * line feed after a carriage return. A line that continues a value (obs-fold in
 * RFC 9112) is malformed. */
class FieldLinesCheck {
 public:
  /** Checks the next byte. Returns false if the lines are malformed. */
  bool Feed(char aByte);

  /** Whether the empty line has been read. */
  [[nodiscard]] bool IsComplete() const { return mState == State::Complete; }

 private:
  enum class State {
    LineStart,
    Name,
    Value,
    /** After the carriage return of a field line. */
    LineEnd,
    /** After the carriage return of the empty line. */
    EmptyLine,
    Complete,
    Invalid,
  };

  [[nodiscard]] State Next(char aByte) const;
  static State NextAtLineStart(char aByte);
  static State NextInValue(char aByte);

  State mState = State::LineStart;
};

}  // namespace papayawheel
