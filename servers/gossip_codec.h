#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/gossip/gossip_message.h"
#include "core/view/view_transfer.h"

namespace papayawheel {

/** Encodes a message as one datagram, in MessagePack. */
std::string EncodeGossip(const GossipMessage& aMessage);

/** Decodes a datagram. Returns nothing if it is malformed or has another
 * protocol version. */
std::optional<GossipMessage> DecodeGossip(const std::string& aDatagram);

/** Path at which a host serves changes of its store view to other hosts. */
constexpr std::string_view kViewTransferPath = "/view";

/** Encodes a transfer as JSON. */
std::string EncodeView(const ViewTransfer& aTransfer);
/** Decodes a transfer. Returns nothing if it is malformed. */
std::optional<ViewTransfer> DecodeView(const std::string& aText);

}  // namespace papayawheel
