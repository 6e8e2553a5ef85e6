// Stands in for an endpoint that follows the protocol of the platform: checks
// that the request is meant for its id, echoes the id of the request, adds the
// proof header to its answers, reports its load and counts the runs of each
// request.
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "drivers/http_server.h"
#include "drivers/program_settings.h"
#include "platform/protocol_names.h"
#include "servers/http_status.h"
#include "servers/query.h"
#include "standins/stand_in_server.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;

std::string Name(std::string_view aHeader) { return std::string(aHeader); }

class RouteEndpoint {
 public:
  RouteEndpoint(asio::io_context& aContext, std::string aId, std::size_t aSlots,
                std::chrono::milliseconds aWork)
      : mContext(aContext),
        mId(std::move(aId)),
        mSlots(aSlots),
        mServiceTime(aWork) {}

  void Handle(const HttpExchangePtr& aExchange) {
    const std::string path = PathOf(aExchange->Target());
    if (path == "/standin/runs") {
      HttpReply reply;
      reply.mBody = Json(mRunCounts).dump();
      aExchange->Reply(reply);
    } else if (path == "/standin/work") {
      mServiceTime =
          std::chrono::milliseconds(QueryNumber(aExchange->Target(), "ms"));
      aExchange->Reply(HttpReply{});
    } else if (path == "/health") {
      Answer(aExchange, 200, false);
    } else {
      Run(aExchange);
    }
  }

 private:
  void Run(const HttpExchangePtr& aExchange) {
    const auto expected =
        aExchange->Header(Name(platform::kExpectedEndpointHeader));
    const auto id = aExchange->Header(Name(platform::kRequestIdHeader));
    if (expected.value_or(mId) != mId || !id) {
      Answer(aExchange, http_status::kMisdirected, true);
      return;
    }
    if (mRunning >= mSlots) {
      Answer(aExchange, http_status::kUnavailable, true);
      return;
    }
    ++mRunning;
    ++mRunCounts[*id];
    // Printed and flushed at once, so that tests also see the runs of a process
    // that is killed later.
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    fmt::print("run={} method={} endpoint={} at_ms={}\n", *id,
               aExchange->Method(), mId, now.count());
    std::fflush(stdout);
    if (QueryNumber(aExchange->Target(), "crash") == 1) {
      // Ends the process as a crash does: no request is answered, all
      // connections break.
      std::_Exit(EXIT_FAILURE);
    }
    const auto timer =
        std::make_shared<asio::steady_timer>(mContext, mServiceTime);
    timer->async_wait([this, timer, aExchange](asio::error_code) {
      --mRunning;
      Answer(aExchange, 200, false);
    });
  }

  void Answer(const HttpExchangePtr& aExchange, int aStatus, bool aNotRun) {
    HttpReply reply;
    reply.mStatus = aStatus;
    reply.mContentType = "text/plain";
    reply.mHeaders = {{Name(platform::kEndpointIdHeader), mId},
                      {Name(platform::kLoadHeader),
                       fmt::format("{},0,{},100", mRunning, mSlots)}};
    const auto id = aExchange->Header(Name(platform::kRequestIdHeader));
    if (id) {
      reply.mHeaders.emplace_back(platform::kRequestIdHeader, *id);
    }
    if (aNotRun) {
      reply.mHeaders.emplace_back(platform::kNotRunHeader, "1");
    } else {
      reply.mHeaders.emplace_back(platform::kResponseStampHeader,
                                  "proof-" + mId);
      reply.mBody = fmt::format("{} {} {} {}\n", mId, aExchange->Method(),
                                aExchange->Target(), aExchange->Body());
      // The query parameter bytes=N makes the body N bytes longer.
      reply.mBody.append(QueryNumber(aExchange->Target(), "bytes"), 'x');
    }
    aExchange->Reply(reply);
  }

  asio::io_context& mContext;
  std::string mId;
  std::size_t mSlots;
  std::chrono::milliseconds mServiceTime;
  std::size_t mRunning = 0;
  /** How often each request was started, by request id. */
  std::map<std::string, int> mRunCounts;
};

}  // namespace

int main(int aCount, char** aArguments) {
  constexpr std::int64_t kMaxSlots = 1000;
  constexpr std::int64_t kMaxMilliseconds = 60'000;
  ProgramSettings settings("papayawheel-standin-route-endpoint",
                           "stands in for an endpoint of the platform");
  settings.Add("address", std::nullopt, "IP number and port to listen on",
               CheckAddress);
  settings.Add("id", std::nullopt, "id under which it is published", CheckName);
  settings.AddNumber("slots", 4, 1, kMaxSlots,
                     "maximum number of requests that run at once");
  settings.AddNumber("work-ms", 5, 0, kMaxMilliseconds,
                     "time that a request takes");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  RouteEndpoint endpoint(context, settings.Text("id"),
                         static_cast<std::size_t>(settings.Number("slots")),
                         std::chrono::milliseconds(settings.Number("work-ms")));
  return ServeStandIn(
      context, settings.Text("address"),
      [&](const HttpExchangePtr& aExchange) { endpoint.Handle(aExchange); });
}
