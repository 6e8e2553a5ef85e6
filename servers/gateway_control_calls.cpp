// The HTTP calls of GatewayControl to the store and to other hosts.

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "drivers/log.h"
#include "servers/gateway_control.h"
#include "servers/gossip_codec.h"
#include "servers/http_status.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Time that the answer to a watch may arrive later than requested. */
constexpr milliseconds kWatchSlack{700};
constexpr milliseconds kReadTimeout{1000};
constexpr milliseconds kPullTimeout{600};

std::uint64_t EraOf(const HttpResult& aResult) {
  return platform::ParseEra(aResult.Header(std::string(platform::kEraHeader)));
}

/** @param aView the view to which the answer was applied. */
void LogStoreAnswer(std::string_view aCall, const StoreDelta& aDelta,
                    const StoreView& aView) {
  Log(LogLevel::Info, "store_answered",
      {{"call", aCall},
       {"era", aDelta.mEra},
       {"as_of", aDelta.mAsOf},
       {"changes", aDelta.mChanges.size()},
       {"view_era", aView.Era()},
       {"view_as_of", aView.AsOf()}});
}

}  // namespace

void GatewayControl::ReadPage(StoreDelta aSoFar, const std::string& aAfterKey) {
  HttpCall call;
  call.mAddress = mSettings.mStoreAddress;
  call.mTarget = platform::ReadTarget(aAfterKey);
  ++mCounts.mStoreCalls;
  call.mTimeout = kReadTimeout;
  mStoreCall = mClient.Send(
      call, [this, soFar = std::move(aSoFar)](const HttpResult& aResult) {
        mStoreCall = 0;
        HandlePage(soFar, aResult);
      });
}

void GatewayControl::HandlePage(StoreDelta aSoFar, const HttpResult& aResult) {
  const bool answered = aResult.mKind == HttpResultKind::Answered &&
                        aResult.mStatus == http_status::kOk;
  auto page = answered ? platform::ParseRead(aResult.mBody) : std::nullopt;
  if (!page) {
    StoreCallFailed(aResult, StoreFailure::NoAnswer);
    return;
  }
  const bool isFirst = !aSoFar.mFull;
  page->mDelta.mEra = EraOf(aResult);
  if (!isFirst && page->mDelta.mEra != aSoFar.mEra) {
    // The store was restored between two pages: the read begins anew.
    StoreCallFailed(aResult, StoreFailure::HistoryUnavailable);
    return;
  }
  // Later pages may include later changes. Only the revision of the first page
  // is covered by all pages.
  aSoFar.mAsOf = isFirst ? page->mDelta.mAsOf : aSoFar.mAsOf;
  aSoFar.mEra = page->mDelta.mEra;
  aSoFar.mFull = true;
  for (StoreChange& change : page->mDelta.mChanges) {
    aSoFar.mChanges.push_back(std::move(change));
  }
  if (page->mHasMore && !page->mLastKey.empty()) {
    ReadPage(std::move(aSoFar), page->mLastKey);
    return;
  }
  const auto changes = mSynchronizer.StoreAnswered(aSoFar, mClock.Now());
  LogStoreAnswer("read", aSoFar, mSynchronizer.View());
  ApplyChanges(changes, "read");
  RunIteration();
}

void GatewayControl::Watch(const WatchStore& aWatch) {
  HttpCall call;
  call.mAddress = mSettings.mStoreAddress;
  call.mTarget = platform::WatchTarget(aWatch.mAfter, aWatch.mWait);
  ++mCounts.mStoreCalls;
  call.mTimeout = aWatch.mWait + kWatchSlack;
  call.mTcpKeepAlive = true;
  mStoreCall = mClient.Send(call, [this](const HttpResult& aResult) {
    mStoreCall = 0;
    WatchEnded(aResult);
  });
}

void GatewayControl::WatchEnded(const HttpResult& aResult) {
  const bool answered = aResult.mKind == HttpResultKind::Answered;
  if (answered && aResult.mStatus == platform::kHistoryGoneStatus) {
    StoreCallFailed(aResult, StoreFailure::HistoryUnavailable);
    return;
  }
  auto page = answered && aResult.mStatus == http_status::kOk
                  ? platform::ParseWatch(aResult.mBody)
                  : std::nullopt;
  if (!page) {
    StoreCallFailed(aResult, StoreFailure::NoAnswer);
    return;
  }
  page->mDelta.mEra = EraOf(aResult);
  const auto changes = mSynchronizer.StoreAnswered(page->mDelta, mClock.Now());
  LogStoreAnswer("watch", page->mDelta, mSynchronizer.View());
  ApplyChanges(changes, "watch");
  RunIteration();
}

void GatewayControl::StoreCallFailed(const HttpResult& aResult,
                                     StoreFailure aFailure) {
  if (!mWasStoreFailing) {
    Log(LogLevel::Warning, "store_lost",
        {{"status", aResult.mStatus},
         {"result", static_cast<int>(aResult.mKind)},
         {"era", EraOf(aResult)},
         {"revision", mSynchronizer.View().Newest()}});
  }
  mWasStoreFailing = true;
  mSynchronizer.StoreFailed(aFailure, mClock.Now());
  RunIteration();
}

void GatewayControl::Pull(const PullView& aPull) {
  HttpCall call;
  call.mAddress = aPull.mAddress;
  call.mTarget = fmt::format("{}?after={}&era={}", kViewTransferPath,
                             aPull.mAfter, aPull.mEra);
  call.mTimeout = kPullTimeout;
  call.mAcceptsCompressed = true;
  ++mCounts.mPulls;
  mClient.Send(call, [this, pull = aPull](const HttpResult& aResult) {
    const bool answered = aResult.mKind == HttpResultKind::Answered &&
                          aResult.mStatus == http_status::kOk;
    const auto transfer = answered ? DecodeView(aResult.mBody) : std::nullopt;
    const auto changes = mSynchronizer.FinishPull(transfer, mClock.Now());
    ApplyChanges(changes, pull.mAddress);
    if (transfer && changes.empty()) {
      // The other host had announced a newer view.
      Log(LogLevel::Info, "pull_without_change",
          {{"peer", pull.mAddress},
           {"after", pull.mAfter},
           {"as_of", transfer->mDelta.mAsOf},
           {"full", transfer->mDelta.mFull},
           {"revision", mSynchronizer.View().Newest()}});
    }
    if (!transfer) {
      Log(LogLevel::Info, "pull_failed",
          {{"peer", pull.mAddress},
           {"status", aResult.mStatus},
           {"result", static_cast<int>(aResult.mKind)}});
    }
    Perform(mSynchronizer.PullFromNextSource(mClock.Now()));
    RunIteration();
  });
}

}  // namespace papayawheel
