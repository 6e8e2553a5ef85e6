// The part of GatewayEngine that finds out which services this host has lost.

#include <algorithm>
#include <utility>

#include "core/gateway/gateway_engine.h"

namespace papayawheel {

GatewayActions GatewayEngine::SetServicesToCheck(
    std::set<std::string> aServices, TimePoint aNow) {
  GatewayActions actions;
  mNow = aNow;
  mServicesToCheck = std::move(aServices);
  for (auto& [name, service] : mServices) {
    service.mReach.SetChecked(mServicesToCheck.contains(name));
    SendReachChecks(name, aNow, actions);
  }
  return actions;
}

ServiceReach GatewayEngine::Reach(TimePoint aNow) const {
  ServiceReach reach;
  for (const auto& [name, service] : mServices) {
    if (IsLost(name, service)) {
      reach.mLost.insert(name);
    } else if (mServicesToCheck.contains(name) &&
               service.mReach.IsReached(aNow)) {
      reach.mReached.insert(name);
    }
  }
  return reach;
}

bool GatewayEngine::IsLost(const std::string& aService,
                           const ServiceState& aState) const {
  return aState.mReach.IsLost() && aState.mPool.Size() > 0 &&
         mView->mRoutes != nullptr && !HealthPath(aService).empty();
}

void GatewayEngine::NoteReach(const std::string& aService,
                              const std::string& aEndpoint, bool aAnswered,
                              TimePoint aNow, GatewayActions& aActions) {
  ServiceState& service = ServiceOf(aService);
  if (aAnswered) {
    service.mReach.NoteAnswer(aNow);
    return;
  }
  const bool wasLost = IsLost(aService, service);
  service.mReach.NoteSilence(aEndpoint, service.mPool.Size(), aNow);
  SendReachChecks(aService, aNow, aActions);
  if (wasLost || !IsLost(aService, service)) {
    return;
  }
  RefuseQueuedCalls(service, aActions);
}

void GatewayEngine::SendReachChecks(const std::string& aService, TimePoint aNow,
                                    GatewayActions& aActions) {
  if (mView->mRoutes == nullptr || HealthPath(aService).empty()) {
    return;
  }
  ServiceState& service = ServiceOf(aService);
  const std::size_t count = service.mReach.TakeChecks(aNow);
  for (const EndpointPool::Candidate& endpoint : service.mPool.RandomEndpoints(
           service.mReach.Silent(), count, mRandom, aNow)) {
    service.mProbeBudget.Charge(aNow);
    SendProbe(aService, endpoint.mId, endpoint.mAddress, HealthPath(aService),
              aNow, aActions);
  }
  const auto next = service.mReach.NextCheck();
  if (next && !service.mReachTimer) {
    service.mReachTimer = std::max(*next, aNow);
    mTimers.emplace(*service.mReachTimer,
                    Timer{TimerKind::ReachCheck, 0, aService, 0});
  }
}

}  // namespace papayawheel
