#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/routes/route.h"

namespace papayawheel {

/** Finds the route of a request. Immutable. */
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const RoutingConfiguration> aSource);

  /** Returns the route of the host name with the longest prefix of the path;
   * null if there is none.
   * @param aHost value of the Host header; a port is ignored.
   * @param aTarget path and query. */
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aTarget) const;

  [[nodiscard]] const RoutingConfiguration& Source() const { return *mSource; }

 private:
  std::shared_ptr<const RoutingConfiguration> mSource;
  /** Routes by lower-case host name; the longest prefix first. */
  std::unordered_map<std::string, std::vector<const Route*>> mByHost;
};

}  // namespace papayawheel
