#include <algorithm>
#include <utility>

#include "core/entry/call_engine.h"

namespace papayawheel {
namespace {

/** Maximum number of share holders that a call is forwarded to. */
constexpr std::size_t kMaxShareHoldersTried = 3;

/** Retry delay if the host that runs a suspect request is unreachable. */
constexpr std::chrono::milliseconds kSuspectRetryAfter{1000};

}  // namespace

bool CallEngine::ForwardToShareHolder(CallId aId, Call& aCall, TimePoint aNow,
                                      CallActions& aActions) {
  const std::string& customer = aCall.mRequest.mCustomer;
  const ShareSplit* const split = mLedger.SplitOf(customer);
  if (split == nullptr || aCall.mTriedHosts.size() >= kMaxShareHoldersTried ||
      aCall.mDeadline <= aNow) {
    return false;
  }
  std::vector<std::string> skipped = aCall.mTriedHosts;
  skipped.push_back(mIdentity.mName);
  for (const std::string& holder : split->mHolders) {
    if (mLedger.Evidence().IsDead(holder, aNow)) {
      skipped.push_back(holder);
    }
  }
  const auto holder = mRemoteShares.BestHolder(customer, *split, skipped, aNow);
  if (!holder) {
    return false;
  }
  mRemoteShares.Forwarded(customer, *holder, split->ShareOf(*holder), aNow);
  aCall.mTriedHosts.push_back(*holder);
  ForwardTo(aId, aCall, *holder, HopReason::Quota, aNow, aActions);
  return true;
}

void CallEngine::ForwardToKeyOwner(CallId aId, Call& aCall,
                                   const RequestKey& aKey, TimePoint aNow,
                                   CallActions& aActions) {
  const auto owner = mConfiguration->mHosts.find(aKey.mHost);
  if (aCall.mRequest.mHopReason != HopReason::None ||
      owner == mConfiguration->mHosts.end() ||
      mLedger.Evidence().IsDead(aKey.mHost, aNow)) {
    Fail(aId, ErrorKind::KeyOwnerGone, Duration::zero(), aActions);
    return;
  }
  ForwardTo(aId, aCall, aKey.mHost, HopReason::KeyOwner, aNow, aActions);
}

void CallEngine::ForwardTo(CallId aId, Call& aCall, const std::string& aHost,
                           HopReason aHop, TimePoint aNow,
                           CallActions& aActions) {
  ++mCounts.mForwarded;
  aCall.mState = CallState::AtHost;
  aCall.mTarget = aHost;
  aCall.mForwardReason = aHop;
  aActions.emplace_back(SendToHostAction{
      aId, aHost, mConfiguration->mHosts.at(aHost).mAddress,
      std::chrono::duration_cast<Duration>(aCall.mDeadline - aNow), aHop});
}

CallActions CallEngine::HostReplied(CallId aId, const HostReply& aReply,
                                    TimePoint aNow) {
  CallActions actions;
  mNow = aNow;
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return actions;
  }
  Call& call = found->second;
  using Result = HostReply::Result;
  const HopReason hop = call.mForwardReason;
  if (aReply.mResult == Result::Answered && aReply.mResponse != nullptr) {
    AnswerWith(aId, aReply.mResponse, actions);
    return actions;
  }
  if (aReply.mResult != Result::Answered && hop == HopReason::KeyOwner) {
    const bool ownerEnded = aReply.mResult == Result::Refused;
    Fail(aId,
         ownerEnded ? ErrorKind::KeyOwnerGone : ErrorKind::KeyOwnerUnreachable,
         Duration::zero(), actions);
    return actions;
  }
  if (aReply.mResult == Result::TimedOut) {
    Fail(aId, ErrorKind::TimedOut, Duration::zero(), actions);
    return actions;
  }
  if (aReply.mResult == Result::Lost) {
    call.mMayHaveRun = true;
    if (!call.mIdempotent || hop == HopReason::Suspect) {
      Fail(aId, ErrorKind::EndpointLost, Duration::zero(), actions);
      return actions;
    }
  }
  if (aReply.mResult != Result::Answered && hop == HopReason::Suspect) {
    Fail(aId, ErrorKind::Quarantined, kSuspectRetryAfter, actions);
    return actions;
  }
  const bool exhausted = aReply.mError == ErrorKind::OverRate ||
                         aReply.mError == ErrorKind::OverConcurrency ||
                         aReply.mError == ErrorKind::HostNotReady;
  if (aReply.mResult == Result::Answered &&
      (hop != HopReason::Quota || !exhausted)) {
    const ErrorKind fallback = aReply.mOutcome == Outcome::NotRun
                                   ? ErrorKind::NeverSent
                                   : ErrorKind::EndpointLost;
    Fail(aId, aReply.mError.value_or(fallback), aReply.mRetryAfter, actions);
    return actions;
  }
  const Duration pause =
      std::max<Duration>(aReply.mRetryAfter, std::chrono::milliseconds(1));
  const std::string& customer = call.mRequest.mCustomer;
  if (const ShareSplit* const split = mLedger.SplitOf(customer)) {
    mRemoteShares.Refused(customer, call.mTarget, split->ShareOf(call.mTarget),
                          pause, aNow);
  }
  if (!ForwardToShareHolder(aId, call, aNow, actions)) {
    Fail(aId, aReply.mError.value_or(ErrorKind::OverRate), pause, actions);
  }
  return actions;
}

}  // namespace papayawheel
