#pragma once

#include <string>
#include <utility>
#include <vector>

namespace papayawheel {

/** Names and values of HTTP headers, in the order of the message. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** A complete HTTP response of an endpoint or of another host. */
struct Response {
  int mStatus = 0;
  /** Without hop-by-hop headers. */
  HeaderList mHeaders;
  std::string mBody;
};

}  // namespace papayawheel
