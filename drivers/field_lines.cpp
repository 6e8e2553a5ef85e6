#include "drivers/field_lines.h"

namespace papayawheel {
namespace {

/** Bytes of a name besides letters and digits (RFC 9110, 5.6.2). */
constexpr std::string_view kNamePunctuation = "!#$%&'*+-.^_`|~";

bool IsBetween(char aFirst, char aByte, char aLast) {
  return aFirst <= aByte && aByte <= aLast;
}

bool IsNameByte(char aByte) {
  return IsBetween('a', aByte, 'z') || IsBetween('A', aByte, 'Z') ||
         IsBetween('0', aByte, '9') ||
         kNamePunctuation.find(aByte) != std::string_view::npos;
}

bool IsValueByte(char aByte) {
  constexpr unsigned char kFirstPrintable = ' ';
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte);
  return aByte == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

}  // namespace

bool FieldLinesCheck::Feed(char aByte) {
  mState = Next(aByte);
  return mState != State::Invalid;
}

FieldLinesCheck::State FieldLinesCheck::Next(char aByte) const {
  switch (mState) {
    case State::LineStart:
      return NextAtLineStart(aByte);
    case State::Name:
      if (aByte == ':') {
        return State::Value;
      }
      return IsNameByte(aByte) ? State::Name : State::Invalid;
    case State::Value:
      return NextInValue(aByte);
    case State::LineEnd:
      return aByte == '\n' ? State::LineStart : State::Invalid;
    case State::EmptyLine:
      return aByte == '\n' ? State::Complete : State::Invalid;
    case State::Complete:
    case State::Invalid:
      break;
  }
  return mState;
}

FieldLinesCheck::State FieldLinesCheck::NextAtLineStart(char aByte) {
  if (aByte == '\r') {
    return State::EmptyLine;
  }
  if (aByte == '\n') {
    return State::Complete;
  }
  // A blank would continue the value of the line before. RFC 9112 (5.2) allows
  // 502 for that, and it may as well be a malformed name.
  return IsNameByte(aByte) ? State::Name : State::Invalid;
}

FieldLinesCheck::State FieldLinesCheck::NextInValue(char aByte) {
  if (aByte == '\r') {
    return State::LineEnd;
  }
  if (aByte == '\n') {
    return State::LineStart;
  }
  return IsValueByte(aByte) ? State::Value : State::Invalid;
}

}  // namespace papayawheel
