#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/gossip/gossip_message.h"
#include "core/view/store_view.h"

namespace papayawheel {

/** Renders a message as one datagram, in MessagePack. */
std::string EncodeGossip(const GossipMessage& aMessage);

/** Reads a datagram; nothing if it is not a message of this version. */
std::optional<GossipMessage> DecodeGossip(const std::string& aDatagram);

/** Where a host asks another one for what is missing in its copy. */
constexpr std::string_view kViewTransferPath = "/view";

/** A copy of the store on its way between two hosts. */
struct ViewTransfer {
  StoreDelta mDelta;
  /** How old the sender's copy is; nothing if it does not know. */
  std::optional<Duration> mAge;
};

/** Renders what one host tells another of the store, in JSON. */
std::string EncodeView(const ViewTransfer& aTransfer);
std::optional<ViewTransfer> DecodeView(const std::string& aText);

}  // namespace papayawheel
