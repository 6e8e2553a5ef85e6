#include "servers/route_explanation_json.h"

#include <nlohmann/json.hpp>

namespace papayawheel {

std::string RenderExplanation(const RouteExplanation& aExplanation) {
  nlohmann::json endpoints = nlohmann::json::array();
  for (const EndpointPool::ScoreParts& parts : aExplanation.mBest) {
    endpoints.push_back({{"endpoint", parts.mId},
                         {"address", parts.mAddress},
                         {"data_centre", parts.mDataCentre},
                         {"score", parts.mScore},
                         {"expected_us", parts.mExpected.count()},
                         {"load_per_slot", parts.mLoadPerSlot},
                         {"slowdown", parts.mSlowdown},
                         {"failure_factor", parts.mFailureFactor},
                         {"distance_factor", parts.mDistanceFactor},
                         {"tie_break_factor", parts.mTieBreakFactor},
                         {"report_age_us", parts.mReportAge.count()}});
  }
  const nlohmann::json json = {
      {"outcome", std::string(ExplainedOutcomeName(aExplanation.mOutcome))},
      {"error", aExplanation.mError ? nlohmann::json(std::string(
                                          AnswerOf(*aExplanation.mError).mName))
                                    : nlohmann::json(nullptr)},
      {"configuration", aExplanation.mConfiguration},
      {"route", aExplanation.mRoute},
      {"service", aExplanation.mService},
      {"queued_calls", aExplanation.mQueuedCalls},
      {"endpoint", aExplanation.mEndpoint},
      {"endpoints", endpoints}};
  return json.dump(2) + "\n";
}

}  // namespace papayawheel
