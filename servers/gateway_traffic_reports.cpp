// The part of GatewayTraffic that reports: log lines and metrics.

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <asio/post.hpp>
#include <future>

#include "drivers/log.h"
#include "drivers/metrics.h"
#include "servers/gateway_traffic.h"

namespace papayawheel {

void GatewayTraffic::LogAnswer(const Exchange& aExchange,
                               const GatewayAnswer& aAnswer,
                               const HttpReply& aReply) const {
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
      mClock.Now() - aExchange.mArrivedAt);
  const std::uint64_t version = mView == nullptr || mView->mRoutes == nullptr
                                    ? 0
                                    : mView->mRoutes->Source().mVersion;
  const std::string endpoints =
      fmt::format("{}", fmt::join(aAnswer.mEndpoints, ","));
  if (aAnswer.mResponse != nullptr) {
    LogRoutine("request_answered", {{"request", aExchange.mRequestId},
                                    {"route", aAnswer.mRoute},
                                    {"configuration", version},
                                    {"status", aReply.mStatus},
                                    {"endpoints", endpoints},
                                    {"took_us", took.count()}});
    return;
  }
  Log(LogLevel::Info, "request_failed",
      {{"request", aExchange.mRequestId},
       {"route", aAnswer.mRoute},
       {"configuration", version},
       {"error", AnswerOf(aAnswer.mError).mName},
       {"status", aReply.mStatus},
       {"endpoints", endpoints},
       {"took_us", took.count()},
       {"retry_after_us", aAnswer.mRetryAfter.count()},
       {"revision", mView == nullptr ? 0 : mView->mRevision}});
}

std::string GatewayTraffic::RenderMetrics() {
  std::promise<std::string> rendered;
  asio::post(mContext, [this, &rendered] {
    const GatewayCounts& counts = mEngine.Counts();
    std::string text =
        RenderMetric("papayawheel_requests_total", "counter",
                     "Requests of callers.",
                     static_cast<double>(counts.mArrived)) +
        RenderMetric("papayawheel_answers_total", "counter",
                     "Answers of endpoints passed on.",
                     static_cast<double>(counts.mAnswered)) +
        RenderMetric("papayawheel_retries_total", "counter",
                     "Requests sent again after a failure.",
                     static_cast<double>(counts.mRetries)) +
        RenderMetric("papayawheel_hedges_total", "counter",
                     "Requests sent to a second endpoint while the first is "
                     "silent.",
                     static_cast<double>(counts.mHedges)) +
        RenderMetric("papayawheel_probes_total", "counter",
                     "Questions to endpoints for their load.",
                     static_cast<double>(counts.mProbes)) +
        RenderMetric("papayawheel_connections_opened_total", "counter",
                     "Connections opened to endpoints.",
                     static_cast<double>(mClient.Counts().mOpened));
    for (const auto& [kind, count] : counts.mErrors) {
      text += RenderMetric(
          "papayawheel_errors_" + std::string(AnswerOf(kind).mName) + "_total",
          "counter", std::string(AnswerOf(kind).mMessage),
          static_cast<double>(count));
    }
    rendered.set_value(std::move(text));
  });
  return rendered.get_future().get();
}

}  // namespace papayawheel
