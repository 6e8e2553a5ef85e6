#pragma once

#include <string_view>

#include "drivers/field_lines.h"
#include "drivers/status_line.h"

namespace papayawheel {

/** Checks the head of an HTTP answer, final or interim, as its bytes arrive. */
class AnswerHeadCheck {
 public:
  /** Checks the next bytes of an answer. Those after its head are ignored.
   * Returns false once the head is malformed. */
  bool Feed(std::string_view aBytes);

  /** Whether the end of the head, or of the trailers, has been read. */
  [[nodiscard]] bool IsComplete() const { return mFieldLines.IsComplete(); }
  /** Whether the head is that of an interim answer. */
  [[nodiscard]] bool IsInterim() const { return mStatusLine.IsInterim(); }
  /** Whether the next byte belongs to the status line. */
  [[nodiscard]] bool IsAtStatusLine() const {
    return !mStatusLine.IsComplete();
  }

  /** Whether the bytes that follow belong to the trailers. */
  [[nodiscard]] bool IsInTrailers() const { return mIsInTrailers; }

  /** Prepares for the trailers of the answer, which end like a head. */
  void StartTrailers();

 private:
  StatusLineCheck mStatusLine;
  FieldLinesCheck mFieldLines;
  bool mIsInTrailers = false;
};

}  // namespace papayawheel
