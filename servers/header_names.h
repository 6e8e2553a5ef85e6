#pragma once

#include <string>

namespace papayawheel::header_names {

/** In requests of callers. */
inline const std::string kCustomer = "papayawheel-customer";
inline const std::string kService = "papayawheel-service";
inline const std::string kKey = "papayawheel-key";
/** Time that the sender is willing to wait for the answer, in milliseconds. */
inline const std::string kDeadline = "papayawheel-deadline-ms";

/** In requests from host to host: why the call is forwarded. */
inline const std::string kHop = "papayawheel-hop";

/** In requests to endpoints: number of the attempt, from 1. */
inline const std::string kAttempt = "papayawheel-attempt";

/** In answers of endpoints: load report, such as
 * "running=3 queued=1 draining=0". */
inline const std::string kLoad = "papayawheel-load";

/** In answers to callers and other hosts: outcome of the call. An endpoint that
 * sheds a call answers with outcome "not_run". */
inline const std::string kOutcome = "papayawheel-outcome";
inline const std::string kError = "papayawheel-error";
/** Time after which a retry may succeed, in milliseconds. */
inline const std::string kRetryAfter = "papayawheel-retry-after-ms";

/** Common prefix of these headers. */
inline const std::string kPrefix = "papayawheel-";

}  // namespace papayawheel::header_names
