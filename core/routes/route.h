#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** Whether a request may be run more than once. */
enum class RouteKind { Idempotent, AtMostOnce };

/** A service that a route sends requests to, and its share of them. */
struct ServiceShare {
  std::string mService;
  /** Weight relative to the sum over the route; greater than 0. */
  double mWeight = 1;
};

/** Rules for the requests with one host name and path prefix: whether they may
 * be repeated, how long they may take, and their priority. */
struct Route {
  std::string mName;
  /** Host name that callers use, without a port. */
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  RouteKind mKind = RouteKind::AtMostOnce;
  /** Maximum time that a caller is kept waiting. */
  Duration mTimeout{0};
  /** Latency up to which an answer keeps its full value to the caller. */
  Duration mTargetLatency{0};
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** Maximum number of endpoints that one request is sent to. */
  std::uint32_t mMaxAttempts = 1;
  /** Never empty. */
  std::vector<ServiceShare> mShares;
};

/** The operator's settings for one service. */
struct ServiceSettings {
  std::string mName;
  std::string mHealthPath;
  /** Maximum number of connections to one endpoint from all hosts together. */
  std::uint32_t mMaxConnections = 0;
  /** Requests per second that a cold endpoint can sustain; 0 for no limit. */
  double mWarmUpRate = 0;
  /** How long an endpoint is cold after a start. */
  Duration mWarmUpPeriod{0};
};

/** Limits on the size of callers' requests and on the time to send them. */
struct RequestLimits {
  /** Whether the configuration has limits. */
  bool mIsSet = false;
  std::size_t mMaxHeaderBytes = 16384;
  std::size_t mMaxBodyBytes = 1U << 20U;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

/** One version of the configuration that the operator publishes. */
struct RoutingConfiguration {
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceSettings> mServices;
  RequestLimits mLimits;
};

}  // namespace papayawheel
