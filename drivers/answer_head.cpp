#include "drivers/answer_head.h"

namespace papayawheel {

bool AnswerHeadCheck::Feed(std::string_view aBytes) {
  for (const char byte : aBytes) {
    if (IsComplete()) {
      break;
    }
    const bool isValid =
        IsAtStatusLine() ? mStatusLine.Feed(byte) : mFieldLines.Feed(byte);
    if (!isValid) {
      return false;
    }
  }
  return true;
}

void AnswerHeadCheck::StartTrailers() {
  mFieldLines = FieldLinesCheck();
  mIsInTrailers = true;
}

}  // namespace papayawheel
