#include "servers/control_worker.h"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "drivers/log.h"
#include "servers/control_api.h"

namespace papayawheel {
namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kPeerTimeout{1000};
constexpr std::chrono::milliseconds kReadTimeout{2000};
/** Number of audit entries that are kept. */
constexpr std::size_t kAuditCapacity = 1000;

/** TCP and IP headers of all packets of one small exchange; counted against the
 * limit of control traffic. */
constexpr std::size_t kPacketOverheadBytes = 200;

}  // namespace

ControlWorker::ControlWorker(HostState& aState,
                             const ControlSettings& aSettings,
                             std::string aPlatformAddress)
    : mState(aState),
      mSettings(aSettings),
      mPlatformAddress(std::move(aPlatformAddress)),
      mContext(1),
      mClient(mContext),
      mTimer(mContext),
      mAudit(aState.TimeSource(), kAuditCapacity),
      mEngine(aSettings, aState.TimeSource(), mAudit),
      mStartedAt(Now()),
      mLastTick(mStartedAt) {}

void ControlWorker::Run() {
  OnTick();
  mContext.run();
}

void ControlWorker::HandleRequest(const HttpExchangePtr& aExchange,
                                  asio::io_context& aReplyContext) {
  asio::post(mContext, [this, aExchange, &aReplyContext] {
    CheckForSuspension(Now());
    const HttpReply reply = ControlApi(*this).Answer(*aExchange);
    PublishChanges();
    asio::post(aReplyContext, [aExchange, reply] { aExchange->Reply(reply); });
  });
}

void ControlWorker::BroadcastCrashReports(std::vector<CrashReport> aReports) {
  asio::post(mContext, [this, reports = std::move(aReports)] {
    nlohmann::json list = nlohmann::json::array();
    for (const CrashReport& report : reports) {
      list.push_back({{"fingerprint", report.mFingerprint},
                      {"endpoint", report.mEndpoint},
                      {"cleared", report.mDismissed}});
    }
    for (const auto& [name, host] : mEngine.Store().InForce()->mHosts) {
      if (name == mState.Identity().mName) {
        continue;
      }
      HttpCall call;
      call.mMethod = "POST";
      call.mAddress = host.mAddress;
      call.mTarget = "/papayawheel/peer/v1/crashes";
      call.mBody = list.dump();
      call.mTimeout = kPeerTimeout;
      mClient.Send(call, [this](const HttpResult& aResult) {
        mEngine.NoteBytes(aResult.mBytes + kPacketOverheadBytes, Now());
      });
    }
    PublishChanges();
  });
}

void ControlWorker::SetDraining(bool aDraining, const std::string& aCause) {
  asio::post(mContext, [this, aDraining, aCause] {
    if (mState.IsDraining() == aDraining) {
      return;
    }
    mState.SetDraining(aDraining);
    mAudit.Record(
        AuditTopic::Drain, mEngine.Store().Revision(),
        fmt::format("host \"{}\"", mState.Identity().mName),
        fmt::format("{}: {}", aDraining ? "leaving" : "back", aCause));
    for (const auto& [name, host] : mEngine.Store().InForce()->mHosts) {
      if (name != mState.Identity().mName) {
        SendHeartbeat(SendHeartbeatAction{name, host.mAddress});
      }
    }
    PublishChanges();
  });
}

void ControlWorker::OnTick() {
  const TimePoint now = Now();
  CheckForSuspension(now);
  Perform(mEngine.Tick(now));
  PublishChanges();
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](asio::error_code aError) {
    if (!aError) {
      OnTick();
    }
  });
}

void ControlWorker::CheckForSuspension(TimePoint aNow) {
  if (aNow - mLastTick >= kMaxControlGap) {
    const auto gap =
        std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mLastTick);
    Log(LogLevel::Warning, "woke_late", {{"gap_ms", gap.count()}});
    mEngine.InvalidateView(aNow);
    mState.WithEngine([](CallEngine& aEngine) { aEngine.SetReady(false); });
  }
  mLastTick = aNow;
}

void ControlWorker::Perform(const ControlActions& aActions) {
  for (const ControlAction& action : aActions) {
    if (const auto* read = std::get_if<ReadPlatformAction>(&action)) {
      ReadPlatform(*read);
    } else if (const auto* send = std::get_if<SendHeartbeatAction>(&action)) {
      SendHeartbeat(*send);
    } else if (const auto* pull = std::get_if<PullAction>(&action)) {
      Pull(*pull);
    } else if (const auto* push = std::get_if<PushAction>(&action)) {
      Push(*push);
    }
  }
}

void ControlWorker::ReadPlatform(const ReadPlatformAction& aAction) {
  HttpCall call;
  call.mAddress = mPlatformAddress;
  call.mTarget =
      fmt::format("/v1/values?base={}&newer_than={}&wait_ms={}", aAction.mBase,
                  aAction.mNewerThan, aAction.mWait.count());
  call.mTimeout = kReadTimeout + aAction.mWait;
  mClient.Send(call, [this](const HttpResult& aResult) {
    const TimePoint now = Now();
    CheckForSuspension(now);
    mEngine.NoteBytes(aResult.mBytes + kPacketOverheadBytes, now);
    if (aResult.mKind != HttpResultKind::Answered || aResult.mStatus != 200) {
      mEngine.PlatformFailed(now);
      Log(LogLevel::Warning, "platform_unreachable",
          {{"address", mPlatformAddress}});
      return;
    }
    Perform(mEngine.PlatformAnswered(aResult.mBody, now));
    PublishChanges();
  });
}

void ControlWorker::SendHeartbeat(const SendHeartbeatAction& aAction) {
  HttpCall call;
  call.mMethod = "POST";
  call.mAddress = aAction.mAddress;
  call.mTarget = "/papayawheel/peer/v1/heartbeat";
  call.mBody = WriteHeartbeat(OwnHeartbeat());
  call.mTimeout = kPeerTimeout;
  const TimePoint sentAt = Now();
  mClient.Send(call, [this, aAction, sentAt](const HttpResult& aResult) {
    const TimePoint now = Now();
    CheckForSuspension(now);
    mEngine.NoteBytes(aResult.mBytes + kPacketOverheadBytes, now);
    std::optional<Heartbeat> answer;
    if (aResult.mKind == HttpResultKind::Answered && aResult.mStatus == 200) {
      answer = ReadHeartbeat(aResult.mBody);
    }
    const bool expected =
        answer && (aAction.mHost.empty() || aAction.mHost == answer->mHost);
    if (expected) {
      mState.WithEngine([&](CallEngine& aEngine) {
        aEngine.Ledger().HostReported(answer->mHost, answer->mLedger, sentAt,
                                      now);
        aEngine.NoteQuarantines(answer->mQuarantines, now);
      });
      Perform(mEngine.HeartbeatAnswered(aAction, *answer, sentAt, now));
    } else if (aResult.mKind == HttpResultKind::Refused) {
      mState.WithEngine([&](CallEngine& aEngine) {
        aEngine.Ledger().HostRefused(aAction.mHost, sentAt, now);
      });
      mEngine.HeartbeatFailed(aAction, HeartbeatFailure::Refused, now);
    } else {
      mEngine.HeartbeatFailed(aAction, HeartbeatFailure::NoAnswer, now);
    }
    PublishChanges();
  });
}

void ControlWorker::Pull(const PullAction& aAction) {
  HttpCall call;
  call.mAddress = aAction.mAddress;
  call.mTarget =
      fmt::format("/papayawheel/peer/v1/configuration?base={}", aAction.mBase);
  call.mTimeout = kPeerTimeout;
  mClient.Send(call, [this, aAction](const HttpResult& aResult) {
    const TimePoint now = Now();
    CheckForSuspension(now);
    mEngine.NoteBytes(aResult.mBytes + kPacketOverheadBytes, now);
    if (aResult.mKind != HttpResultKind::Answered || aResult.mStatus != 200) {
      mEngine.PullFailed();
      return;
    }
    Perform(mEngine.ConfigurationArrived(
        aResult.mBody, fmt::format("host at {}", aAction.mAddress), now));
    PublishChanges();
  });
}

void ControlWorker::Push(const PushAction& aAction) {
  HttpCall call;
  call.mMethod = "POST";
  call.mAddress = aAction.mAddress;
  call.mTarget = "/papayawheel/peer/v1/configuration";
  call.mBody = WriteChanges(mEngine.Store().SnapshotInForce(), aAction.mBase);
  call.mTimeout = kPeerTimeout;
  mClient.Send(call, [this](const HttpResult& aResult) {
    mEngine.NoteBytes(aResult.mBytes + kPacketOverheadBytes, Now());
  });
}

void ControlWorker::PublishChanges() {
  const TimePoint now = Now();
  const bool ready = mEngine.IsViewFresh(now);
  const std::uint64_t revision = mEngine.Store().Revision();
  std::vector<std::string> quarantines;
  std::optional<PreparedConfiguration> changed;
  if (revision != mAppliedRevision) {
    changed.emplace(mEngine.Store().InForce());
  }
  mState.WithEngine([&](CallEngine& aEngine) {
    if (changed) {
      aEngine.Apply(std::move(*changed), now);
    }
    aEngine.SetReady(ready);
    aEngine.NoteControlIteration(now);
    quarantines = aEngine.TakeQuarantineEvents();
  });
  mAppliedRevision = revision;
  for (const std::string& event : quarantines) {
    mAudit.Record(AuditTopic::Quarantine, revision, "quarantine", event);
  }
  LogAudit();
}

void ControlWorker::LogAudit() {
  for (const AuditEntry& entry : mAudit.After(mLastLoggedSequence)) {
    Log(LogLevel::Info, "audit",
        {{"topic", AuditTopicName(entry.mTopic)},
         {"revision", entry.mRevision},
         {"subject", entry.mSubject},
         {"cause", entry.mCause}});
    mLastLoggedSequence = entry.mSequence;
  }
}

Heartbeat ControlWorker::OwnHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.mHost = mState.Identity().mName;
  heartbeat.mIncarnation = mState.Identity().mIncarnation;
  heartbeat.mUptime =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - mStartedAt);
  heartbeat.mRevision = mEngine.Store().Revision();
  heartbeat.mDraining = mState.IsDraining();
  const TimePoint now = Now();
  mState.WithEngine([&](CallEngine& aEngine) {
    heartbeat.mLedger = aEngine.Ledger().Report(now);
    heartbeat.mReady = aEngine.IsReady(now);
    heartbeat.mInFlight = static_cast<std::uint32_t>(aEngine.InFlight());
    heartbeat.mQuarantines = aEngine.Quarantines(now);
  });
  return heartbeat;
}

}  // namespace papayawheel
