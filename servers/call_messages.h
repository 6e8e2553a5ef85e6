#pragma once

#include <optional>
#include <string>

#include "core/entry/call.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"

namespace papayawheel {

/** Reads a call from an HTTP request; nothing, with a reason, when a header is
 * malformed. */
std::optional<CallRequest> ReadCall(const HttpExchange& aExchange,
                                    std::string& aReason);

/** The HTTP request that sends a call to an endpoint. */
HttpCall EndpointCall(const SendToEndpointAction& aAction,
                      const CallRequest& aRequest, const HeaderList& aHeaders,
                      const std::string& aBody);

/** The HTTP request that passes a call to another host. */
HttpCall HostCall(const SendToHostAction& aAction, const CallRequest& aRequest,
                  const HeaderList& aHeaders, const std::string& aBody);

/** What an endpoint's answer, or its absence, means. */
EndpointReply ReadEndpointReply(const HttpResult& aResult);

/** What another host's answer, or its absence, means. */
HostReply ReadHostReply(const HttpResult& aResult);

/** The answer to the caller. */
HttpReply CallerReply(const AnswerAction& aAction);

/** An answer for an error that was found before the engine saw the call. */
HttpReply ErrorReply(ErrorKind aError, Duration aRetryAfter,
                     const std::string& aDetail);

}  // namespace papayawheel
