#pragma once

#include "core/gateway/gateway_call.h"
#include "drivers/endpoint_client.h"
#include "drivers/http_server.h"

namespace papayawheel {

/** Reads a caller's request. */
GatewayRequest ReadGatewayRequest(const HttpExchange& aExchange);

/** Returns the request that is sent to an endpoint for a caller's request. Its
 * body is the one of the exchange, which it keeps alive. */
EndpointRequest WriteEndpointRequest(const HttpExchangePtr& aExchange,
                                     const StartAttempt& aStart);

/** Returns the request of a load probe. */
EndpointRequest WriteProbe(const StartProbe& aProbe);

/** Interprets the answer to a load probe. If another endpoint answered at the
 * address, the reply has only the liveness Replaced.
 * @param aEndpoint id of the endpoint that was probed. */
ProbeReply ReadProbeAnswer(const std::string& aEndpoint,
                           const EndpointAnswer& aAnswer);

/** Interprets the answer to an attempt or the failure to get one. The response
 * of the answer becomes that of the reply, without its hop-by-hop headers. */
AttemptReply ReadEndpointAnswer(EndpointAnswer aAnswer);

/** Returns the HTTP answer to the caller. Its body is the one of the endpoint's
 * response, which it keeps alive. */
HttpReply WriteGatewayReply(const GatewayAnswer& aAnswer);

}  // namespace papayawheel
