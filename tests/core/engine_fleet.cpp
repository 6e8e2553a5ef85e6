#include "tests/core/engine_fleet.h"

#include <fmt/format.h>

#include <utility>

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kReportPeriod{1000};
constexpr milliseconds kServiceTime{5};
/** A status that tells a caller that its request was not run. */
constexpr int kRefusal = 503;

}  // namespace

EngineFleet::EngineFleet(std::size_t aHosts, std::size_t aEndpoints,
                         std::uint32_t aSeed, const Contract& aContract)
    : mRandom(aSeed) {
  mConfiguration = MakeSharedConfiguration(
      SampleConfiguration(aHosts, aEndpoints, aContract));
  mNodes.resize(aHosts);
  for (std::size_t host = 0; host < aHosts; ++host) {
    Restart(host);
  }
  Advance(milliseconds(8000));
}

void EngineFleet::Advance(Duration aBy) {
  const TimePoint until = mClock.Now() + aBy;
  while (mClock.Now() < until) {
    mClock.Advance(kTick);
    while (!mEvents.empty() && mEvents.begin()->first <= mClock.Now()) {
      const Event event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
    const bool reports = mClock.Now().time_since_epoch() % kReportPeriod ==
                         TimePoint::duration::zero();
    if (reports) {
      ExchangeReports();
    }
    for (std::size_t host = 0; host < Hosts(); ++host) {
      Node& node = mNodes[host];
      if (node.mEngine != nullptr && !node.mPaused) {
        node.mEngine->NoteControlIteration(mClock.Now());
        Perform(host, node.mEngine->Tick(mClock.Now()));
      }
    }
  }
}

std::size_t EngineFleet::NewOrder(std::size_t aKeyHost) {
  const CallEngine* const owner = mNodes[aKeyHost].mEngine.get();
  RequestRecord record;
  record.mKey = fmt::format(
      "{}n{}",
      owner == nullptr
          ? WriteKeyPrefix(SampleHostName(aKeyHost), 1, std::chrono::seconds(0))
          : owner->Outcomes().KeyPrefix(mClock.Now()),
      mRequests.size());
  mRequests.push_back(std::move(record));
  return mRequests.size() - 1;
}

std::size_t EngineFleet::NewQuery() {
  mRequests.emplace_back();
  return mRequests.size() - 1;
}

void EngineFleet::Send(std::size_t aRequest, std::size_t aHost) {
  At(DrawDelay(), [this, aRequest, aHost] {
    AtHost(aHost, Duration::zero(), [this, aRequest, aHost] {
      Arrive(aHost, aRequest, HopReason::None,
             [this, aRequest](const AnswerAction& aAnswer) {
               RecordAnswer(aRequest, aAnswer);
             });
    });
  });
}

void EngineFleet::Resend(std::size_t aIndex, std::size_t aHost) {
  if (mRequests.empty()) {
    return;
  }
  const std::size_t request = aIndex % mRequests.size();
  if (!mRequests[request].mKey.empty()) {
    Send(request, aHost);
  }
}

void EngineFleet::Kill(std::size_t aHost) {
  Node& node = mNodes[aHost];
  node.mEngine.reset();
  node.mDeferredEvents.clear();
  node.mPaused = false;
  ++node.mGeneration;
}

void EngineFleet::Restart(std::size_t aHost) {
  Kill(aHost);
  Node& node = mNodes[aHost];
  const HostIdentity identity{
      SampleHostName(aHost),
      mConfiguration->mHosts.at(SampleHostName(aHost)).mDataCentre,
      (std::uint64_t{aHost} << 32U) | node.mGeneration};
  node.mEngine = std::make_unique<CallEngine>(identity, mClock.Now());
  node.mEngine->Apply(mConfiguration, mClock.Now());
  node.mEngine->SetReady(true);
}

void EngineFleet::SetPaused(std::size_t aHost, bool aPaused) {
  Node& node = mNodes[aHost];
  if (node.mEngine == nullptr) {
    return;
  }
  node.mPaused = aPaused;
  if (!aPaused) {
    for (const Event& event : std::exchange(node.mDeferredEvents, {})) {
      event();
    }
  }
}

std::string EngineFleet::Violation() const {
  for (std::size_t request = 0; request < mRequests.size(); ++request) {
    const RequestRecord& record = mRequests[request];
    if (record.mWrongBody) {
      return fmt::format("request {} got the answer to another request",
                         request);
    }
    if (!record.mKey.empty() && record.mRuns > 1) {
      return fmt::format("request {} ran {} times", request, record.mRuns);
    }
    if (record.mReportedNotRun && record.mRuns > 0) {
      return fmt::format("request {} was reported as not run, but it ran",
                         request);
    }
    if (record.mReportedAnswered && record.mRuns == 0) {
      return fmt::format("request {} was reported as answered, but never ran",
                         request);
    }
  }
  return "";
}

void EngineFleet::At(Duration aDelay, Event aEvent) {
  mEvents.emplace(mClock.Now() + aDelay, std::move(aEvent));
}

void EngineFleet::AtHost(std::size_t aHost, Duration aDelay, Event aEvent) {
  const std::uint64_t generation = mNodes[aHost].mGeneration;
  At(aDelay, [this, aHost, generation, event = std::move(aEvent)] {
    Node& node = mNodes[aHost];
    if (node.mEngine == nullptr || node.mGeneration != generation) {
      return;
    }
    if (node.mPaused) {
      node.mDeferredEvents.push_back(event);
      return;
    }
    event();
  });
}

void EngineFleet::Arrive(std::size_t aHost, std::size_t aRequest,
                         HopReason aHop, Reply aReply) {
  CallRequest request;
  request.mCustomer = "roofers";
  request.mService = "orders";
  request.mKey = mRequests[aRequest].mKey;
  request.mMethod = request.mKey.empty() ? "GET" : "POST";
  request.mTarget =
      mCrashing.contains(aRequest) ? "/crash" : fmt::format("/{}", aRequest);
  request.mHopReason = aHop;
  const CallId id = ++mLastCall;
  mReplies[id] = {aRequest, std::move(aReply)};
  Perform(aHost, mNodes[aHost].mEngine->Arrive(id, request, mClock.Now()));
}

void EngineFleet::Perform(std::size_t aHost, const CallActions& aActions) {
  for (const CallAction& action : aActions) {
    // The process may be suspended between a decision and its execution.
    AtHost(aHost, DrawDelay(), [this, aHost, action] {
      if (const auto* answer = std::get_if<AnswerAction>(&action)) {
        const auto found = mReplies.find(answer->mCall);
        if (found != mReplies.end()) {
          const Reply reply = std::move(found->second.second);
          mReplies.erase(found);
          reply(*answer);
        }
      } else if (const auto* send =
                     std::get_if<SendToEndpointAction>(&action)) {
        ToEndpoint(aHost, *send);
      } else if (const auto* pass = std::get_if<SendToHostAction>(&action)) {
        ToHost(aHost, *pass);
      }
    });
  }
}

void EngineFleet::ToEndpoint(std::size_t aHost,
                             const SendToEndpointAction& aAction) {
  const auto call = mReplies.find(aAction.mCall);
  if (call == mReplies.end()) {
    return;
  }
  const std::size_t request = call->second.first;
  const CallId id = aAction.mCall;
  const auto finish = [this, aHost, id](Duration aDelay, EndpointReply aReply) {
    AtHost(aHost, aDelay, [this, aHost, id, reply = std::move(aReply)] {
      Finish(aHost, id, reply);
    });
  };
  const Delivery delivery = DrawDelivery();
  if (delivery == Delivery::NotConnected) {
    finish(DrawDelay(), EndpointReply{EndpointResult::NotConnected, {}, {}});
    return;
  }
  if (delivery == Delivery::Shed) {
    finish(DrawDelay(), EndpointReply{EndpointResult::Shed, {}, {}});
    return;
  }
  if (delivery == Delivery::RequestLost) {
    finish(DrawDelay(), EndpointReply{EndpointResult::Lost, {}, {}});
    return;
  }
  finish(aAction.mTimeout, EndpointReply{EndpointResult::TimedOut, {}, {}});
  At(DrawDelay(),
     [this, request, finish, delivery, endpoint = aAction.mEndpoint] {
       const bool crashed = Run(request);
       if (crashed || delivery == Delivery::AnswerLost) {
         finish(kServiceTime, EndpointReply{EndpointResult::Lost, {}, {}});
         return;
       }
       auto response = std::make_shared<Response>();
       response->mStatus = mIsRefusing && request % 2 == 1 ? kRefusal : 200;
       response->mBody = BodyOf(request);
       finish(kServiceTime + DrawDelay(),
              EndpointReply{EndpointResult::Answered, {}, response});
     });
}

void EngineFleet::ToHost(std::size_t aHost, const SendToHostAction& aAction) {
  const auto call = mReplies.find(aAction.mCall);
  if (call == mReplies.end()) {
    return;
  }
  const std::size_t request = call->second.first;
  const auto target =
      static_cast<std::size_t>(std::stoul(aAction.mHost.substr(1)));
  const CallId id = aAction.mCall;
  const auto finish = [this, aHost, id](Duration aDelay, HostReply aReply) {
    AtHost(aHost, aDelay, [this, aHost, id, reply = std::move(aReply)] {
      Perform(aHost,
              mNodes[aHost].mEngine->HostReplied(id, reply, mClock.Now()));
    });
  };
  HostReply reply;
  const Delivery delivery = DrawDelivery();
  if (mNodes[target].mEngine == nullptr || delivery == Delivery::NotConnected) {
    reply.mResult = mNodes[target].mEngine == nullptr
                        ? HostReply::Result::Refused
                        : HostReply::Result::NotConnected;
    finish(DrawDelay(), reply);
    return;
  }
  reply.mResult = HostReply::Result::TimedOut;
  finish(aAction.mTimeout, reply);
  if (delivery == Delivery::RequestLost) {
    reply.mResult = HostReply::Result::Lost;
    finish(DrawDelay(), reply);
    return;
  }
  AtHost(target, DrawDelay(), [=, this, hop = aAction.mHopReason] {
    Arrive(target, request, hop, [=](const AnswerAction& aAnswer) {
      HostReply answer;
      answer.mResult = delivery == Delivery::AnswerLost
                           ? HostReply::Result::Lost
                           : HostReply::Result::Answered;
      answer.mResponse =
          delivery == Delivery::AnswerLost ? nullptr : aAnswer.mResponse;
      if (aAnswer.mResponse == nullptr) {
        answer.mError = aAnswer.mError;
        answer.mOutcome = AnswerOf(aAnswer.mError).mOutcome;
      }
      finish(Duration::zero(), answer);
    });
  });
}

void EngineFleet::Finish(std::size_t aHost, CallId aCall,
                         const EndpointReply& aReply) {
  Perform(aHost,
          mNodes[aHost].mEngine->EndpointReplied(aCall, aReply, mClock.Now()));
  BroadcastCrashes(aHost);
}

void EngineFleet::BroadcastCrashes(std::size_t aHost) {
  const auto reports = mNodes[aHost].mEngine->TakeCrashReports();
  if (!mCrashReportsDelivered) {
    return;
  }
  for (std::size_t host = 0; host < Hosts(); ++host) {
    if (host == aHost) {
      continue;
    }
    for (const CrashReport& report : reports) {
      AtHost(host, milliseconds(1), [this, host, report] {
        mNodes[host].mEngine->NoteRemoteCrash(report, mClock.Now());
      });
    }
  }
}

bool EngineFleet::Run(std::size_t aRequest) {
  ++mRequests[aRequest].mRuns;
  const bool crashes = mCrashing.contains(aRequest);
  mCrashes += crashes ? 1 : 0;
  return crashes;
}

std::string EngineFleet::BodyOf(std::size_t aRequest) const {
  return fmt::format("answer to {}", aRequest);
}

void EngineFleet::RecordAnswer(std::size_t aRequest,
                               const AnswerAction& aAnswer) {
  RequestRecord& record = mRequests[aRequest];
  if (aAnswer.mResponse != nullptr) {
    const bool isRefusal = aAnswer.mResponse->mStatus == kRefusal;
    record.mReportedNotRun = record.mReportedNotRun || isRefusal;
    record.mReportedAnswered = record.mReportedAnswered || !isRefusal;
    record.mWrongBody =
        record.mWrongBody || aAnswer.mResponse->mBody != BodyOf(aRequest);
    return;
  }
  switch (AnswerOf(aAnswer.mError).mOutcome) {
    case Outcome::Answered:
      record.mReportedAnswered = true;
      break;
    case Outcome::NotRun:
      record.mReportedNotRun = true;
      break;
    case Outcome::Unknown:
      record.mReportedUnknown = true;
      break;
  }
}

void EngineFleet::ExchangeReports() {
  for (std::size_t from = 0; from < Hosts(); ++from) {
    Node& node = mNodes[from];
    if (node.mEngine == nullptr || node.mPaused) {
      continue;
    }
    for (std::size_t other = 0; other < Hosts(); ++other) {
      const Node& peer = mNodes[other];
      if (other == from || peer.mPaused) {
        continue;
      }
      if (peer.mEngine == nullptr) {
        node.mEngine->Ledger().HostRefused(SampleHostName(other), mClock.Now(),
                                           mClock.Now());
      } else {
        node.mEngine->Ledger().HostReported(
            SampleHostName(other), peer.mEngine->Ledger().Report(mClock.Now()),
            mClock.Now(), mClock.Now());
      }
    }
  }
}

EngineFleet::Delivery EngineFleet::DrawDelivery() {
  if (std::uniform_int_distribution<int>(0, 99)(mRandom) >= mFaultPercent) {
    return Delivery::Delivered;
  }
  return static_cast<Delivery>(
      std::uniform_int_distribution<int>(1, 4)(mRandom));
}

Duration EngineFleet::DrawDelay() {
  // Most delays are short; some are long enough for a repeat to overtake.
  const bool late =
      std::uniform_int_distribution<int>(0, 99)(mRandom) < mFaultPercent;
  return milliseconds(
      std::uniform_int_distribution<int>(0, late ? 1500 : 2)(mRandom));
}

}  // namespace papayawheel
