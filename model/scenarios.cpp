#include "model/scenarios.h"

#include <algorithm>

namespace papayawheel::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RequestClass MakeClass(const char* aName, RouteKind aKind,
                       std::uint32_t aPriority, double aPerSecond,
                       milliseconds aServiceTime, milliseconds aTarget,
                       milliseconds aTimeout) {
  RequestClass requestClass;
  requestClass.mRoute.mName = aName;
  requestClass.mRoute.mHost = "shop.example";
  requestClass.mRoute.mPrefix = std::string("/") + aName + "/";
  requestClass.mRoute.mKind = aKind;
  requestClass.mRoute.mTimeout = aTimeout;
  requestClass.mRoute.mTargetLatency = aTarget;
  requestClass.mRoute.mPriority = aPriority;
  requestClass.mRoute.mMaxAttempts = 2;
  requestClass.mRoute.mShares = {ServiceShare{GatewayModel::kService, 1}};
  requestClass.mPerSecond = aPerSecond;
  requestClass.mServiceTime = aServiceTime;
  requestClass.mRequestTimeout = aTimeout;
  return requestClass;
}

/** An order service under its usual load: a read-only route and one whose
 * requests must run at most once. */
ModelSettings OrderService() {
  ModelSettings settings;
  settings.mHosts = 12;
  settings.mClasses = {
      MakeClass(kStockCheck, RouteKind::Idempotent, 2, 95, milliseconds(76),
                milliseconds(250), milliseconds(800)),
      MakeClass(kOrderPlace, RouteKind::AtMostOnce, 1, 28, milliseconds(100),
                milliseconds(300), milliseconds(1000))};
  return settings;
}

void WarmUp(GatewayModel& aModel) {
  aModel.Run(seconds(3));
  aModel.ResetTally();
}

void RunFlashCrowd(GatewayModel& aModel) {
  WarmUp(aModel);
  aModel.SetRate(2.6);
  aModel.Run(seconds(5));
  aModel.SetRate(0.1);
  aModel.Run(seconds(2));
}

void RunSteady(GatewayModel& aModel) {
  WarmUp(aModel);
  aModel.Run(seconds(15));
  aModel.SetRate(0.1);
  aModel.Run(seconds(2));
}

/** Changes the first aCount endpoints after the warm-up and runs 8 s of load,
 * then 2 s of low load in which requests end. */
void RunWithChangedEndpoints(
    GatewayModel& aModel, std::size_t aCount,
    const std::function<void(ModelEndpoint&)>& aChange) {
  WarmUp(aModel);
  for (std::size_t index = 0; index < aCount; ++index) {
    aChange(aModel.Endpoint(index));
  }
  aModel.Run(seconds(8));
  aModel.SetRate(0.1);
  aModel.Run(seconds(2));
}

void RunSlowEndpoints(GatewayModel& aModel) {
  RunWithChangedEndpoints(aModel, 6, [](ModelEndpoint& aEndpoint) {
    aEndpoint.Traits().mUnreportedSlowdown = 12;
  });
}

void RunFailingEndpoints(GatewayModel& aModel) {
  RunWithChangedEndpoints(aModel, 3, [](ModelEndpoint& aEndpoint) {
    aEndpoint.Traits().mFailureProbability = 0.45;
  });
}

void RunSheddingEndpoints(GatewayModel& aModel) {
  RunWithChangedEndpoints(aModel, 15, [](ModelEndpoint& aEndpoint) {
    aEndpoint.Traits().mShedProbability = 0.55;
  });
}

/** A smaller slack of the retry budget, as in a large fleet, where each host
 * gets little of the budget. */
ModelSettings SmallBudget() {
  ModelSettings settings = OrderService();
  settings.mBudget.mSlack = 18;
  return settings;
}

void RunSheddingCrowd(GatewayModel& aModel) {
  aModel.At(seconds(3), [&aModel] {
    for (std::size_t index = 0; index < 15; ++index) {
      aModel.Endpoint(index).Traits().mShedProbability = 0.55;
    }
  });
  RunFlashCrowd(aModel);
}

void RunSilentEndpoints(GatewayModel& aModel) {
  RunWithChangedEndpoints(
      aModel, 5, [](ModelEndpoint& aEndpoint) { aEndpoint.SetSilent(true); });
}

void RunFlapping(GatewayModel& aModel) {
  for (int cycle = 0; cycle < 5; ++cycle) {
    for (const bool down : {true, false}) {
      const milliseconds at = milliseconds(3000 + cycle * 2800) +
                              (down ? milliseconds(0) : milliseconds(1400));
      aModel.At(at, [&aModel, down] {
        aModel.Endpoint(0).SetDown(down);
        aModel.Endpoint(1).SetDown(down);
      });
    }
  }
  RunSteady(aModel);
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> sScenarios = {
      {"noisy neighbour",
       "a quarter of the machines is five times slower, drawn anew every "
       "150 ms",
       OrderService, RunSteady},
      {"flash crowd", "2.6 times the usual arrivals for five seconds",
       OrderService, RunFlashCrowd},
      {"slow endpoints", "six of fifteen take twelve times as long, unreported",
       OrderService, RunSlowEndpoints},
      {"failing endpoints", "three of fifteen fail 45 in 100 of their requests",
       OrderService, RunFailingEndpoints},
      {"shedding endpoints",
       "all turn away 55 in 100 of their requests though they have room",
       OrderService, RunSheddingEndpoints},
      {"shedding crowd",
       "the same in a flash crowd, with a small retry budget a host",
       SmallBudget, RunSheddingCrowd},
      {"silent endpoints",
       "five of fifteen vanish from the network and are still published",
       OrderService, RunSilentEndpoints},
      {"flapping", "two of fifteen go down and up every 1.4 s", OrderService,
       RunFlapping},
  };
  return sScenarios;
}

const Scenario* FindScenario(const std::string& aName) {
  const auto& scenarios = Scenarios();
  const auto found = std::find_if(
      scenarios.begin(), scenarios.end(),
      [&aName](const Scenario& aOne) { return aOne.mName == aName; });
  return found == scenarios.end() ? nullptr : &*found;
}

std::unique_ptr<GatewayModel> RunScenario(const Scenario& aScenario,
                                          std::uint32_t aSeed) {
  ModelSettings settings = aScenario.mSettings();
  settings.mSeed = aSeed;
  auto model = std::make_unique<GatewayModel>(std::move(settings));
  aScenario.mRun(*model);
  return model;
}

}  // namespace papayawheel::model
