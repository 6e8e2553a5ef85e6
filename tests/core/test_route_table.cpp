#include <doctest/doctest.h>

#include <map>
#include <string>

#include "core/routes/route_table.h"
#include "core/routes/weighted_split.h"

namespace papayawheel {
namespace {

Route MakeRoute(const char* aName, const char* aHost, const char* aPrefix) {
  Route route;
  route.mName = aName;
  route.mHost = aHost;
  route.mPrefix = aPrefix;
  route.mShares = {ServiceShare{"service", 1}};
  return route;
}

TEST_CASE("routes: the longest prefix of the host that matches the path") {
  auto source = std::make_shared<RoutingConfiguration>();
  source->mRoutes = {MakeRoute("all", "a.example", "/"),
                     MakeRoute("stock", "a.example", "/stock/"),
                     MakeRoute("larch", "a.example", "/stock/larch/"),
                     MakeRoute("other", "b.example", "/stock/")};
  const RouteTable table(source);
  struct Case {
    const char* mHost;
    const char* mTarget;
    /** Null if there is no route. */
    const char* mRoute;
  };
  const Case cases[] = {
      {"a.example", "/stock/7", "stock"},
      {"a.example", "/stock/larch/7", "larch"},
      {"a.example", "/stock/larch", "stock"},
      {"a.example", "/stock", "all"},
      {"A.Example:8080", "/stock/7?x=/stock/larch/", "stock"},
      {"b.example", "/stock/larch/7", "other"},
      {"b.example", "/stock", nullptr},
      {"b.example", "/?p=/stock/", nullptr},
      {"c.example", "/stock/7", nullptr},
      {"", "/stock/7", nullptr},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mHost);
    CAPTURE(one.mTarget);
    const Route* const route = table.Find(one.mHost, one.mTarget);
    REQUIRE((route == nullptr) == (one.mRoute == nullptr));
    if (route != nullptr) {
      CHECK(route->mName == one.mRoute);
    }
  }
}

TEST_CASE("routes: every service gets its share of any short run") {
  struct Case {
    double mFirst;
    double mSecond;
  };
  for (const Case& one : {Case{90, 10}, Case{1, 1}, Case{3, 7}, Case{99, 1}}) {
    CAPTURE(one.mFirst);
    Route route = MakeRoute("split", "a.example", "/");
    route.mShares = {ServiceShare{"x", one.mFirst},
                     ServiceShare{"y", one.mSecond}};
    WeightedSplit split;
    std::map<std::string, double> seen;
    for (int request = 1; request <= 300; ++request) {
      ++seen[split.Next(route)];
      const double due = request * one.mFirst / (one.mFirst + one.mSecond);
      CHECK(std::abs(seen["x"] - due) <= 1);
    }
  }
}

}  // namespace
}  // namespace papayawheel
