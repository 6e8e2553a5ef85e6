#include "core/config/configuration.h"

#include <algorithm>

namespace papayawheel {

std::vector<std::string> LiveHosts(const std::map<std::string, Host>& aHosts) {
  std::vector<std::string> names;
  for (const auto& [name, host] : aHosts) {
    if (host.mState == NodeState::Live) {
      names.push_back(name);
    }
  }
  return names;
}

std::chrono::milliseconds Configuration::LongestDeadline() const {
  std::chrono::milliseconds longest{0};
  for (const auto& [name, service] : mServices) {
    longest = std::max(longest, service.mLongestDeadline);
  }
  return longest;
}

}  // namespace papayawheel
