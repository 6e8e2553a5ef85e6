#include "standins/stand_in_server.h"

#include <utility>

#include "core/config/address.h"
#include "drivers/log.h"
#include "drivers/program_settings.h"

namespace papayawheel {

int ServeStandIn(asio::io_context& aContext, const std::string& aAddress,
                 HttpServer::Handler aHandler,
                 HttpServer::ClosedHandler aClosedHandler) {
  const Address address = *ParseAddress(aAddress);
  HttpServerSettings settings;
  settings.mIp = address.mIp;
  settings.mPort = address.mPort;
  HttpServer server(aContext, settings, std::move(aHandler),
                    std::move(aClosedHandler));
  if (!server.Start()) {
    Log(LogLevel::Error, "cannot_listen", {{"reason", server.LastError()}});
    return kExitFailure;
  }
  aContext.run();
  return kExitOk;
}

}  // namespace papayawheel
