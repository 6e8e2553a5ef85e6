#include "drivers/status_line.h"

#include <string_view>

namespace papayawheel {
namespace {

constexpr std::string_view kProtocolName = "HTTP/";
constexpr std::size_t kStatusDigits = 3;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsLineEnd(char aByte) { return aByte == '\r' || aByte == '\n'; }

}  // namespace

bool ExcludesBody(int aStatus) {
  return aStatus == kNoContent || aStatus == kNotModified;
}

bool StatusLineCheck::Feed(char aByte) {
  mState = Next(aByte);
  return mState != State::Invalid;
}

StatusLineCheck::State StatusLineCheck::Next(char aByte) {
  switch (mState) {
    case State::Start:
      // Some servers send an empty line after the previous answer.
      return IsLineEnd(aByte) ? State::Start : NextInVersion(aByte);
    case State::Version:
      return NextInVersion(aByte);
    case State::Status:
      return NextInStatus(aByte);
    case State::Reason:
      return NextInReason(aByte);
    case State::LineEnd:
      return aByte == '\n' ? State::Complete : State::Invalid;
    case State::Complete:
    case State::Invalid:
      break;
  }
  return mState;
}

StatusLineCheck::State StatusLineCheck::NextInVersion(char aByte) {
  if (mNameBytes < kProtocolName.size()) {
    const bool matches = aByte == kProtocolName[mNameBytes];
    ++mNameBytes;
    return matches ? State::Version : State::Invalid;
  }
  if (IsLineEnd(aByte)) {
    return State::Invalid;
  }
  return aByte == ' ' ? State::Status : State::Version;
}

StatusLineCheck::State StatusLineCheck::NextInStatus(char aByte) {
  if (mDigits == kStatusDigits) {
    return aByte == ' ' || IsLineEnd(aByte) ? NextInReason(aByte)
                                            : State::Invalid;
  }
  const char first = mDigits == 0 ? '1' : '0';
  const char last = mDigits == 0 ? '5' : '9';
  mIsInterim = mIsInterim || (mDigits == 0 && aByte == first);
  ++mDigits;
  return aByte >= first && aByte <= last ? State::Status : State::Invalid;
}

StatusLineCheck::State StatusLineCheck::NextInReason(char aByte) {
  if (aByte == '\r') {
    return State::LineEnd;
  }
  return aByte == '\n' ? State::Complete : State::Reason;
}

}  // namespace papayawheel
