// The part of GatewayEngine that tells what would become of a request.

#include "core/gateway/gateway_engine.h"

namespace papayawheel {
namespace {

/** Maximum number of endpoints in an explanation. */
constexpr std::size_t kMaxExplained = 5;

}  // namespace

std::string_view ExplainedOutcomeName(ExplainedOutcome aOutcome) {
  switch (aOutcome) {
    case ExplainedOutcome::Sent:
      return "sent";
    case ExplainedOutcome::AwaitsView:
      return "awaits_view";
    case ExplainedOutcome::AwaitsCalls:
      return "awaits_calls";
    case ExplainedOutcome::AwaitsEndpoint:
      return "awaits_endpoint";
    case ExplainedOutcome::AwaitsProbes:
      return "awaits_probes";
    case ExplainedOutcome::AwaitsCapacity:
      return "awaits_capacity";
    case ExplainedOutcome::Refused:
      return "refused";
  }
  return "unknown";
}

RouteExplanation GatewayEngine::Explain(const GatewayRequest& aRequest,
                                        TimePoint aNow) const {
  RouteExplanation explanation;
  const Route* const route = FindRoute(aRequest);
  if (mView->mRoutes != nullptr) {
    explanation.mConfiguration = mView->mRoutes->Source().mVersion;
  }
  explanation.mError = ValidateRequest(aRequest, route, aNow);
  if (route == nullptr) {
    return explanation;
  }
  explanation.mRoute = route->mName;
  // A copy, since a service that is only named must not lose its turn.
  WeightedSplit split = mSplit;
  explanation.mService = split.Next(*route);
  const auto found = mServices.find(explanation.mService);
  if (found == mServices.end() || explanation.mError) {
    return explanation;
  }
  const ServiceState& service = found->second;
  const Call call = MakeCall(aRequest, *route, explanation.mService, aNow);
  explanation.mQueuedCalls = service.mQueue.Size();
  explanation.mBest = service.mPool.BestScores(
      EndpointsToAvoid(call, aNow), EstimatedServiceTime(call.mRoute),
      kMaxExplained, aNow);
  const auto choice = ChooseEndpoint(service, call, aNow);
  explanation.mEndpoint = choice ? choice->mId : "";
  explanation.mOutcome = OutcomeOf(service, call, choice, aNow);
  if (explanation.mOutcome == ExplainedOutcome::Refused) {
    explanation.mError = mCrashDetector.IsQuarantined(call.mFingerprint, aNow)
                             ? ErrorKind::Quarantined
                             : RefusalOf(service, call, aNow);
  }
  return explanation;
}

ExplainedOutcome GatewayEngine::OutcomeOf(
    const ServiceState& aService, const Call& aCall,
    const std::optional<EndpointPool::Choice>& aChoice, TimePoint aNow) const {
  if (!mViewFresh) {
    return ExplainedOutcome::AwaitsView;
  }
  if (mCrashDetector.IsQuarantined(aCall.mFingerprint, aNow) ||
      RefusalOf(aService, aCall, aNow)) {
    return ExplainedOutcome::Refused;
  }
  if (CallsAhead(aService, aCall) > 0) {
    return ExplainedOutcome::AwaitsCalls;
  }
  if (!aChoice) {
    return ExplainedOutcome::AwaitsEndpoint;
  }
  if (!IsLoadKnown(aService, aCall, *aChoice, aNow) ||
      MayFindReadyEndpoint(aService, aCall, *aChoice, aNow)) {
    return ExplainedOutcome::AwaitsProbes;
  }
  return IsFastEnough(*aChoice) ? ExplainedOutcome::Sent
                                : ExplainedOutcome::AwaitsCapacity;
}

}  // namespace papayawheel
