// Decodes the input as a gossip datagram and as a transfer of the store view
// between hosts, and passes the results to the gossip engine and to the view
// synchronizer.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/gossip/gossip_engine.h"
#include "core/view/view_synchronizer.h"
#include "servers/gossip_codec.h"

namespace {

using namespace papayawheel;

const TimePoint kNow{std::chrono::hours(1)};

void HandleDatagram(const std::string& aText) {
  const auto message = DecodeGossip(aText);
  if (!message) {
    return;
  }
  MemberRecord self;
  self.mName = "h0";
  self.mDataCentre = "a";
  self.mGossipAddress = "10.0.0.1:1";
  GossipEngine engine(self, 1);
  ViewSynchronizer synchronizer(kNow, 1, true);
  engine.Tick(kNow);
  for (const Datagram& datagram : engine.MessageArrived(*message, kNow)) {
    EncodeGossip(datagram.mMessage);
  }
  synchronizer.NotePeerSummary("10.0.0.2:1", message->mView, kNow, kNow);
  synchronizer.Tick({ReaderRole::None}, kNow);
  engine.Tick(kNow + std::chrono::seconds(1));
}

void HandleTransfer(const std::string& aText) {
  const auto transfer = DecodeView(aText);
  if (!transfer) {
    return;
  }
  ViewSynchronizer synchronizer(kNow, 1, true);
  synchronizer.FinishPull(transfer, kNow);
  synchronizer.ServePull(0, 0, kNow);
  static_cast<void>(synchronizer.Summary(kNow));
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  HandleDatagram(text);
  HandleTransfer(text);
  return 0;
}
