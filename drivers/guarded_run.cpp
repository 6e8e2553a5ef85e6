#include "drivers/guarded_run.h"

#include <exception>
#include <string>

#include "drivers/log.h"

namespace papayawheel {

void RunGuarded(asio::io_context& aContext, std::string_view aThread) {
  while (!aContext.stopped()) {
    try {
      aContext.run();
    } catch (const std::exception& error) {
      Log(LogLevel::Error, "handler_failed",
          {{"thread", std::string(aThread)}, {"reason", error.what()}});
    }
  }
}

}  // namespace papayawheel
