#pragma once

#include <string>

namespace papayawheel::header_names {

/** From the caller. */
inline const std::string kCustomer = "papayawheel-customer";
inline const std::string kService = "papayawheel-service";
inline const std::string kKey = "papayawheel-key";
/** Time that the sender is willing to wait, in milliseconds. */
inline const std::string kDeadline = "papayawheel-deadline-ms";

/** From host to host: why the call is passed on. */
inline const std::string kHop = "papayawheel-hop";

/** To the endpoint: 1 for the first attempt. */
inline const std::string kAttempt = "papayawheel-attempt";

/** From the endpoint: "running=3 queued=1 draining=0". */
inline const std::string kLoad = "papayawheel-load";

/** To the caller; an endpoint that sheds a call answers "not_run". */
inline const std::string kOutcome = "papayawheel-outcome";
inline const std::string kError = "papayawheel-error";
/** Time after which it is worth calling again, in milliseconds. */
inline const std::string kRetryAfter = "papayawheel-retry-after-ms";

/** Prefix of all of these. */
inline const std::string kPrefix = "papayawheel-";

}  // namespace papayawheel::header_names
