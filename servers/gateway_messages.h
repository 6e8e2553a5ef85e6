#pragma once

#include "core/gateway/gateway_call.h"
#include "drivers/endpoint_client.h"
#include "drivers/http_server.h"

namespace papayawheel {

/** Reads a caller's request. */
GatewayRequest ReadGatewayRequest(const HttpExchange& aExchange);

/** Writes the request that an endpoint gets. */
EndpointRequest WriteEndpointRequest(const HttpExchange& aExchange,
                                     const StartAttempt& aStart);

/** Writes the question for an endpoint's load. */
EndpointRequest WriteProbe(const StartProbe& aProbe);

/** What the answer to a probe tells; nothing if another endpoint has the
 * address now. */
ProbeReply ReadProbeAnswer(const std::string& aEndpoint,
                           const EndpointAnswer& aAnswer);

/** What the end of an attempt means. */
AttemptReply ReadEndpointAnswer(const EndpointAnswer& aAnswer);

/** Writes the answer that a caller gets. */
HttpReply WriteGatewayReply(const GatewayAnswer& aAnswer);

}  // namespace papayawheel
