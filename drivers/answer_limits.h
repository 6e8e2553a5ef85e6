#pragma once

#include <cstddef>

namespace papayawheel {

/** What an endpoint may send, in bytes. What is longer is no answer: its
 * connection is closed, and the caller is told so at once. */
struct AnswerLimits {
  /** Names and values of the head, with trailers. */
  std::size_t mMaxHead = 64U << 10U;
  std::size_t mMaxBody = 8U << 20U;
  /** Unfinished answers of all connections together. */
  std::size_t mMaxUnfinished = 32U << 20U;
};

}  // namespace papayawheel
