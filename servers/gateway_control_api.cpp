// The HTTP API of GatewayControl for other hosts and operators.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "servers/caller_limit_counts.h"
#include "servers/gateway_control.h"
#include "servers/gossip_codec.h"
#include "servers/http_status.h"
#include "servers/query.h"
#include "servers/route_explanation_json.h"

namespace papayawheel {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/status";
constexpr std::string_view kExplainRoutePath = "/explain-route";

/** Parses the question of an operator; nothing if it is malformed. */
std::optional<GatewayRequest> ParseQuestion(const std::string& aBody) {
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  const auto text = [&json](const char* aName) {
    const auto found = json.is_object() ? json.find(aName) : json.end();
    return json.is_object() && found != json.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
  };
  GatewayRequest request;
  request.mRequestId = "explain-route";
  request.mHost = text("host");
  request.mMethod = text("method");
  request.mTarget = text("path");
  const bool isValid = !request.mHost.empty() && !request.mMethod.empty() &&
                       request.mTarget.starts_with('/');
  return isValid ? std::optional(request) : std::nullopt;
}

}  // namespace

void GatewayControl::Serve(const HttpExchangePtr& aExchange) {
  const std::string path = PathOf(aExchange->Target());
  HttpReply reply;
  if (path == kViewTransferPath) {
    const TimePoint now = mClock.Now();
    const std::string target = aExchange->Target();
    const auto transfer = mSynchronizer.ServePull(
        QueryNumber(target, "era"), QueryNumber(target, "after"), now);
    if (transfer) {
      ++(transfer->mDelta.mFull ? mCounts.mCopiesServed
                                : mCounts.mDeltasServed);
      reply.mBody = EncodeView(*transfer);
      reply.mMayCompress = true;
    } else {
      ++mCounts.mPullsRefused;
      reply.mStatus = http_status::kUnavailable;
    }
  } else if (path == kMetricsPath) {
    reply.mContentType = "text/plain; version=0.0.4";
    reply.mBody = mHooks.mRenderMetrics() + RenderControlCounts(mCounts) +
                  RenderCallerLimitCounts("control_", {mServer.get()});
  } else if (path == kStatusPath) {
    reply.mBody = RenderStatus();
  } else if (path == kExplainRoutePath) {
    reply = ExplainRoute(aExchange);
  } else {
    reply.mStatus = http_status::kNotFound;
  }
  aExchange->Reply(reply);
}

HttpReply GatewayControl::ExplainRoute(const HttpExchangePtr& aExchange) const {
  HttpReply reply;
  const auto request = ParseQuestion(aExchange->Body());
  if (!request) {
    reply.mStatus = http_status::kBadRequest;
    reply.mBody =
        "the body must be a JSON object with host, method and a path that "
        "starts with a slash\n";
    return reply;
  }
  reply.mBody = RenderExplanation(mHooks.mExplain(*request));
  return reply;
}

std::string GatewayControl::RenderStatus() {
  const TimePoint now = mClock.Now();
  const ViewSummary view = mSynchronizer.Summary(now);
  nlohmann::json members = nlohmann::json::array();
  for (const MemberRecord& member : mGossip.Reachable()) {
    members.push_back({{"name", member.mName},
                       {"data_centre", member.mDataCentre},
                       {"front", member.mFrontAddress},
                       {"state", static_cast<int>(member.mState)}});
  }
  const nlohmann::json status = {
      {"host", mSettings.mName},
      {"era", view.mEra},
      {"revision", view.mNewest},
      {"configuration", mRoutes == nullptr ? 0 : mRoutes->Source().mVersion},
      {"endpoints", mRegistry.Endpoints()->size()},
      {"evacuated", *mEvacuations.DataCentres()},
      {"trusted", mSynchronizer.IsViewFresh(now)},
      {"view_age_us", view.mAge ? nlohmann::json(view.mAge->count())
                                : nlohmann::json(nullptr)},
      {"members", members}};
  return status.dump(2) + "\n";
}

}  // namespace papayawheel
