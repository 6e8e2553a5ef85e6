// Log lines and metrics of GatewayTraffic.

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <asio/post.hpp>
#include <future>
#include <iterator>

#include "drivers/log.h"
#include "drivers/metrics.h"
#include "servers/caller_limit_counts.h"
#include "servers/gateway_traffic.h"

namespace papayawheel {
namespace {

/** Data centres whose selections are logged. Callers may name others. */
constexpr std::size_t kMaxLoggedSelections = 64;

std::string RenderHedges(const HedgeCounts& aCounts) {
  return RenderCounter("hedges_sent_total", "Hedges sent under the limit.",
                       aCounts.mSent) +
         RenderCounter("hedges_won_total",
                       "Hedges that answered before the other attempt.",
                       aCounts.mWon) +
         RenderCounter("hedges_cancelled_total",
                       "Attempts cancelled since the other attempt of a hedged "
                       "request answered.",
                       aCounts.mCancelled) +
         RenderCounter("hedges_refused_limit_total",
                       "Hedges not sent since the limit is used up.",
                       aCounts.mRefusedByLimit) +
         RenderCounter("hedges_refused_retry_budget_total",
                       "Hedges not sent since the retry budget is used up.",
                       aCounts.mRefusedByRetryBudget) +
         RenderCounter("hedges_refused_queue_total",
                       "Hedges not sent since requests are queued.",
                       aCounts.mRefusedByQueue) +
         RenderCounter("hedges_refused_no_idle_endpoint_total",
                       "Hedges not sent since no endpoint is known to be idle.",
                       aCounts.mRefusedWithoutIdleEndpoint) +
         RenderMetric("papayawheel_hedges_extra_work_ratio", "gauge",
                      "Time of endpoints on attempts that hedging added, as a "
                      "fraction of the time on all attempts.",
                      aCounts.ExtraShare());
}

/** Interval between two log lines of the cold endpoints of a service, and the
 * number of endpoints that a line names. */
constexpr std::chrono::seconds kColdLogInterval{1};
constexpr std::size_t kMaxNamedEndpoints = 8;

std::size_t CountOf(
    const std::map<std::string, std::set<std::string>>& aByService) {
  std::size_t count = 0;
  for (const auto& [service, endpoints] : aByService) {
    count += endpoints.size();
  }
  return count;
}

/** The first endpoints of aMore that are not in aFewer, for a log line. */
std::vector<std::string> Added(const std::set<std::string>& aFewer,
                               const std::set<std::string>& aMore) {
  std::vector<std::string> added;
  std::set_difference(aMore.begin(), aMore.end(), aFewer.begin(), aFewer.end(),
                      std::back_inserter(added));
  added.resize(std::min(added.size(), kMaxNamedEndpoints));
  return added;
}

}  // namespace

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
       {"endpoint_status", aAnswer.mReplacedStatus},
       {"endpoints", endpoints},
       {"fingerprint", fmt::format("{:016x}", aAnswer.mFingerprint)},
       {"took_us", took.count()},
       {"retry_after_us", aAnswer.mRetryAfter.count()},
       {"revision", mView == nullptr ? 0 : mView->mRevision}});
}

void GatewayTraffic::LogNotice(const std::string& aEndpoint,
                               const EndpointNotice& aNotice) {
  if (aNotice.mDraining || aNotice.mBackoff > Duration::zero() ||
      aNotice.mLimit) {
    Log(LogLevel::Info, "endpoint_notice",
        {{"endpoint", aEndpoint},
         {"leaving", aNotice.mDraining},
         {"stay_away_us", aNotice.mBackoff.count()},
         {"limit", aNotice.mLimit ? fmt::format("{}", *aNotice.mLimit) : ""},
         {"probe", aNotice.mSource == NoticeSource::Probe}});
  }
}

void GatewayTraffic::LogCrashEvents() {
  for (const CrashEvent& event : mEngine.TakeCrashEvents()) {
    ++mCrashSteps[event.mStep];
    Log(LogLevel::Info, "crash_note",
        {{"step", CrashEventStepName(event.mStep)},
         {"proof", CrashEventProofName(event.mProof)},
         {"fingerprint", fmt::format("{:016x}", event.mFingerprint)},
         {"request", event.mRequestId},
         {"endpoint", event.mEndpoint},
         {"crashes", event.mCrashes}});
  }
}

void GatewayTraffic::LogHedges() {
  for (const HedgeEvent& event : mEngine.TakeHedgeEvents()) {
    Log(LogLevel::Info, "hedge_sent",
        {{"request", event.mRequestId},
         {"route", event.mRoute},
         {"service", event.mService},
         {"endpoint", event.mEndpoint},
         {"quantile_us", event.mQuantile.count()},
         {"delay_us", event.mDelay.count()},
         {"load_per_slot", fmt::format("{:.2f}", event.mLoadPerSlot)},
         {"expected_us", event.mExpected.count()},
         {"limit_left", fmt::format("{:.2f}", event.mLimitRemaining)},
         {"retry_budget_left",
          fmt::format("{:.2f}", event.mRetryBudgetRemaining)}});
  }
}

std::string GatewayTraffic::RenderMetrics() {
  std::promise<std::string> rendered;
  asio::post(mContext, [this, &rendered] {
    const GatewayCounts& counts = mEngine.Counts();
    std::string text =
        RenderCounter("requests_total", "Requests received from callers.",
                      counts.mArrived) +
        RenderCounter("answers_total", "Endpoint answers forwarded to callers.",
                      counts.mAnswered) +
        RenderCounter("retries_total", "Retries after a failed attempt.",
                      counts.mRetries) +
        RenderCounter("hedges_total",
                      "Second, parallel attempts while the first one is "
                      "unanswered.",
                      counts.mHedges) +
        RenderCounter("probes_total",
                      "Load probes and health checks sent to endpoints.",
                      counts.mProbes) +
        RenderCounter("cold_requests_total",
                      "Requests sent to endpoints that count as cold and have "
                      "a limit.",
                      counts.mColdRequests) +
        RenderMetric(
            "cold_endpoints", "gauge",
            "Endpoints that count as cold and have a limit.",
            static_cast<double>(CountOf(mEngine.ColdEndpoints(mClock.Now())))) +
        RenderCounter("connections_opened_total",
                      "Connections opened to endpoints.",
                      mClient.Counts().mOpened);
    text += RenderHedges(mEngine.CountsOfHedges());
    for (const auto& [kind, count] : counts.mErrors) {
      text += RenderCounter(
          "errors_" + std::string(AnswerOf(kind).mName) + "_total",
          std::string(AnswerOf(kind).mMessage), count);
    }
    for (const auto& [step, count] : mCrashSteps) {
      text += RenderCounter(
          fmt::format("crash_notes_{}_total", CrashEventStepName(step)),
          "Steps in detecting requests that crash endpoints.", count);
    }
    std::vector<const HttpServer*> servers;
    for (const auto& server : mServers) {
      servers.push_back(server.get());
    }
    text += RenderCallerLimitCounts("callers_", servers);
    rendered.set_value(std::move(text));
  });
  return rendered.get_future().get();
}

void GatewayTraffic::LogColdEndpoints(TimePoint aNow) {
  if (aNow < mNextColdLog) {
    return;
  }
  mNextColdLog = aNow + kColdLogInterval;
  auto current = mEngine.ColdEndpoints(aNow);
  for (const auto& [service, cold] : current) {
    const std::set<std::string>& logged = mLoggedCold[service];
    if (cold != logged) {
      Log(LogLevel::Info, "cold_endpoints_changed",
          {{"service", service},
           {"cold", cold.size()},
           {"before", logged.size()},
           {"became_cold",
            fmt::format("{}", fmt::join(Added(logged, cold), ","))},
           {"became_warm",
            fmt::format("{}", fmt::join(Added(cold, logged), ","))}});
    }
  }
  mLoggedCold = std::move(current);
}

RouteExplanation GatewayTraffic::Explain(const GatewayRequest& aRequest) {
  std::promise<RouteExplanation> explained;
  asio::post(mContext, [this, &aRequest, &explained] {
    explained.set_value(mEngine.Explain(aRequest, mClock.Now()));
  });
  return explained.get_future().get();
}

void GatewayTraffic::PublishReach() {
  const ServiceReach reach = mEngine.Reach(mClock.Now());
  if (reach == mReach) {
    return;
  }
  mReach = reach;
  Log(LogLevel::Warning, "reach_changed",
      {{"lost", fmt::format("{}", fmt::join(reach.mLost, ","))},
       {"reached", fmt::format("{}", fmt::join(reach.mReached, ","))}});
  mFronts.SetReach(reach);
  mHooks.mReachChanged(reach);
}

void GatewayTraffic::NoteSelection(const std::string& aDataCentre,
                                   const std::vector<std::string>& aAddresses) {
  const bool isKnown = mLoggedSelections.contains(aDataCentre);
  if (!isKnown && mLoggedSelections.size() >= kMaxLoggedSelections) {
    return;
  }
  std::vector<std::string>& logged = mLoggedSelections[aDataCentre];
  if (logged != aAddresses) {
    logged = aAddresses;
    Log(LogLevel::Info, "selection_changed",
        {{"data_centre", aDataCentre},
         {"hosts", fmt::format("{}", fmt::join(aAddresses, ","))}});
  }
}

}  // namespace papayawheel
