#pragma once

#include <cstddef>

namespace papayawheel {

/** Limits for the answers of endpoints, in bytes. An answer above a limit
 * counts as malformed: its connection is closed, and the caller gets an error
 * at once. */
struct AnswerLimits {
  /** Names and values of the headers and trailers. */
  std::size_t mMaxHead = 64U << 10U;
  std::size_t mMaxBody = 8U << 20U;
  /** Unfinished answers of all connections together. */
  std::size_t mMaxUnfinished = 32U << 20U;
};

}  // namespace papayawheel
