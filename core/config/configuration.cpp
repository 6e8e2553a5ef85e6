#include "core/config/configuration.h"

#include <algorithm>

namespace papayawheel {

std::chrono::milliseconds Configuration::LongestDeadline() const {
  std::chrono::milliseconds longest{0};
  for (const auto& [name, service] : mServices) {
    longest = std::max(longest, service.mLongestDeadline);
  }
  return longest;
}

}  // namespace papayawheel
