#pragma once

#include <optional>
#include <string>

#include "core/entry/call.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"

namespace papayawheel {

/** Reads a call from an HTTP request. Returns nothing and sets aReason if a
 * header is missing or malformed. */
std::optional<CallRequest> ReadCall(const HttpExchange& aExchange,
                                    std::string& aReason);

/** Returns the HTTP request that sends a call to an endpoint. */
HttpCall EndpointCall(const SendToEndpointAction& aAction,
                      const CallRequest& aRequest, const HeaderList& aHeaders,
                      const std::string& aBody);

/** Returns the HTTP request that forwards a call to another host. */
HttpCall HostCall(const SendToHostAction& aAction, const CallRequest& aRequest,
                  const HeaderList& aHeaders, const std::string& aBody);

/** Interprets an endpoint's answer or the failure to get one. */
EndpointReply ReadEndpointReply(const HttpResult& aResult);

/** Interprets another host's answer or the failure to get one. */
HostReply ReadHostReply(const HttpResult& aResult);

/** Returns the HTTP answer to the caller. */
HttpReply CallerReply(const AnswerAction& aAction);

/** Returns an error answer.
 * @param aRetryAfter time after which a retry may succeed; used only for errors
 * whose advice is to retry later.
 * @param aDetail text for the caller in addition to the error's message; may be
 * empty. */
HttpReply ErrorReply(ErrorKind aError, Duration aRetryAfter,
                     const std::string& aDetail);

}  // namespace papayawheel
