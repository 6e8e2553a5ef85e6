#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/error_kind.h"
#include "core/endpoints/endpoint_pool.h"

namespace papayawheel {

/** What would become of a request that arrives now. */
enum class ExplainedOutcome {
  /** It is sent to an endpoint at once. */
  Sent,
  /** It waits, since the view of the store is not fresh. */
  AwaitsView,
  /** It waits behind queued calls. */
  AwaitsCalls,
  /** It waits, since no endpoint accepts requests yet. */
  AwaitsEndpoint,
  /** It waits for probes, since the best endpoint has no fresh load report. */
  AwaitsProbes,
  /** It waits, since the best endpoint is too busy or too slow. */
  AwaitsCapacity,
  /** It is refused. */
  Refused,
};

/** Name of an outcome for operators. */
std::string_view ExplainedOutcomeName(ExplainedOutcome aOutcome);

/** Where one host would send a request, and why. */
struct RouteExplanation {
  ExplainedOutcome mOutcome = ExplainedOutcome::Refused;
  /** Set if the request is refused. */
  std::optional<ErrorKind> mError;
  /** Version of the configuration in force; 0 if there is none. */
  std::uint64_t mConfiguration = 0;
  /** Empty if there is no route. */
  std::string mRoute;
  std::string mService;
  /** Calls of the service that wait on this host. */
  std::size_t mQueuedCalls = 0;
  /** The endpoint that the request is sent to now, or that would be chosen if
   * it were sent now; empty if there is none. */
  std::string mEndpoint;
  /** The best endpoints, the best first. */
  std::vector<EndpointPool::ScoreParts> mBest;
};

}  // namespace papayawheel
