// The part of GatewayEngine that admits new requests.

#include <fmt/format.h>

#include <algorithm>

#include "core/base/rendezvous.h"
#include "core/gateway/gateway_engine.h"

namespace papayawheel {
namespace {

std::uint64_t Fingerprint(const GatewayRequest& aRequest) {
  return StableHash(fmt::format("{}\n{}\n{}\n{}\n{}", aRequest.mMethod,
                                aRequest.mHost, aRequest.mTarget,
                                aRequest.mCallerHash, aRequest.mBodyHash));
}

TimePoint DeadlineOf(const GatewayRequest& aRequest, const Route& aRoute,
                     TimePoint aNow) {
  return aNow + std::min(aRequest.mCallerTimeout.value_or(aRoute.mTimeout),
                         aRoute.mTimeout);
}

}  // namespace

const Route* GatewayEngine::FindRoute(const GatewayRequest& aRequest) const {
  return mView->mRoutes == nullptr
             ? nullptr
             : mView->mRoutes->Find(aRequest.mHost, aRequest.mTarget);
}

GatewayEngine::Call GatewayEngine::MakeCall(const GatewayRequest& aRequest,
                                            const Route& aRoute,
                                            const std::string& aService,
                                            TimePoint aNow) {
  Call call;
  call.mRequest = aRequest;
  call.mRoute = aRoute;
  call.mService = aService;
  call.mArrivedAt = aNow;
  call.mDeadline = DeadlineOf(aRequest, aRoute, aNow);
  call.mFingerprint = Fingerprint(aRequest);
  return call;
}

std::optional<ErrorKind> GatewayEngine::ValidateRequest(
    const GatewayRequest& aRequest, const Route* aRoute, TimePoint aNow) const {
  if (mView->mRoutes == nullptr || !mAccepting) {
    return ErrorKind::HostNotReady;
  }
  if (aRoute == nullptr) {
    return ErrorKind::NoRoute;
  }
  if (aRequest.mRequestId.empty()) {
    return ErrorKind::RequestIdMissing;
  }
  if (aRequest.mCallerTimeout && *aRequest.mCallerTimeout <= Duration::zero()) {
    return ErrorKind::DeadlineTooShort;
  }
  if (DeadlineOf(aRequest, *aRoute, aNow) > mAcceptsUntil) {
    return ErrorKind::HostNotReady;
  }
  return std::nullopt;
}

void GatewayEngine::Admit(CallId aId, TimePoint aNow,
                          GatewayActions& aActions) {
  Call& call = mCalls.at(aId);
  if (mCrashDetector.IsQuarantined(call.mFingerprint, aNow)) {
    Fail(aId, ErrorKind::Quarantined, aActions);
    return;
  }
  Enqueue(aId, call, Purpose::First, ErrorKind::Overloaded, aNow, aActions);
}

}  // namespace papayawheel
