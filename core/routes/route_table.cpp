#include "core/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace papayawheel {
namespace {

std::string NormaliseHost(std::string_view aHost) {
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char aByte) { return std::tolower(aByte); });
  return host;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const RoutingConfiguration> aSource)
    : mSource(std::move(aSource)) {
  for (const Route& route : mSource->mRoutes) {
    mByHost[NormaliseHost(route.mHost)].push_back(&route);
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->mPrefix.size() > aRight->mPrefix.size();
                     });
  }
}

const Route* RouteTable::Find(std::string_view aHost,
                              std::string_view aTarget) const {
  const auto found = mByHost.find(NormaliseHost(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const Route* const route : found->second) {
    if (path.starts_with(route->mPrefix)) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace papayawheel
