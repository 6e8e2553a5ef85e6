#pragma once

#include <optional>
#include <string>
#include <vector>

#include "drivers/answer_parser.h"
#include "drivers/endpoint_client.h"
#include "drivers/http_client.h"

namespace papayawheel {

/** Feeds a text in pieces of some bytes, up to the end of one answer. */
AnswerParser::Result FeedAll(AnswerParser& aParser, const std::string& aText,
                             std::size_t aPiece);

/** How a request of the client for endpoints ends whose peer sends a text and
 * ends its side of the connection; empty if it does not end. */
std::optional<EndpointAnswer> EndpointAnswerFor(const std::string& aText);

/** The same for the client for the store and hosts. */
std::optional<HttpResult> HttpResultFor(const std::string& aText);

/** The same for requests that one client sends in turn, one for each text. */
std::vector<HttpResult> HttpResultsFor(const std::vector<std::string>& aTexts);

}  // namespace papayawheel
