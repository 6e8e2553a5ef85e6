#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Whether a request may run more than once. */
enum class RouteKind { Idempotent, AtMostOnce };

/** One service that a route sends to, and its share of the requests. */
struct ServiceShare {
  std::string mService;
  /** Relative to the sum over the route; above 0. */
  double mWeight = 1;
};

/** The contract of the requests with one host name and path prefix: what may
 * be repeated, how long they may take and how they rank. */
struct Route {
  std::string mName;
  /** The host name that callers use, without a port. */
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  RouteKind mKind = RouteKind::AtMostOnce;
  /** The longest time that a caller is kept waiting. */
  Duration mTimeout{0};
  /** An answer within this time has its full worth. */
  Duration mTargetLatency{0};
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** Endpoints that one request may be sent to. */
  std::uint32_t mMaxAttempts = 1;
  /** Never empty. */
  std::vector<ServiceShare> mShares;
};

/** What the operator says of one service. */
struct ServiceSettings {
  std::string mName;
  std::string mHealthPath;
  /** Connections that one endpoint takes from all hosts together. */
  std::uint32_t mMaxConnections = 0;
};

/** What callers may send, and how slowly. */
struct RequestLimits {
  std::size_t mMaxHeaderBytes = 16384;
  std::size_t mMaxBodyBytes = 1U << 20U;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

/** One version of everything that the operator publishes. */
struct RoutingConfiguration {
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceSettings> mServices;
  RequestLimits mLimits;
};

}  // namespace papayawheel
