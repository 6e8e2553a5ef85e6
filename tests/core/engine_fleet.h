#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/entry/call_engine.h"
#include "tests/fake_clock.h"
#include "tests/sample_configuration.h"

namespace papayawheel {

/** Several engines, the network between them, endpoints that run what reaches
 * them, and callers that send a request again through other hosts. */
class EngineFleet {
 public:
  /** What may go wrong with one message to an endpoint or a host. */
  enum class Delivery {
    Delivered,
    /** No connection was made. */
    NotConnected,
    /** It was delivered, but the answer is lost. */
    AnswerLost,
    /** The connection breaks before it is delivered. */
    RequestLost,
    /** The endpoint refuses to take it. */
    Shed,
  };

  /** What became of one request, as told to its caller and in truth. */
  struct RequestRecord {
    std::string mKey;
    std::uint64_t mRuns = 0;
    bool mReportedAnswered = false;
    bool mReportedNotRun = false;
    bool mReportedUnknown = false;
    bool mWrongBody = false;
  };

  EngineFleet(std::size_t aHosts, std::size_t aEndpoints, std::uint32_t aSeed,
              const Contract& aContract = SampleContract(1e6, 1000, 1000));

  void Advance(Duration aBy);

  /** A caller draws up a request that must run once, with a key of a host. */
  std::size_t NewOrder(std::size_t aKeyHost);

  /** A caller draws up a request that may run several times. */
  std::size_t NewQuery();

  /** Marks a request as one that crashes the endpoint that runs it; all such
   * requests are alike. */
  void MarkCrashing(std::size_t aRequest) { mCrashing.insert(aRequest); }
  [[nodiscard]] std::size_t Crashes() const { return mCrashes; }

  /** The caller sends a request, perhaps again, to a host. */
  void Send(std::size_t aRequest, std::size_t aHost);

  /** Sends one of the orders again; queries are sent once, so that what they
   * are told can be held against what became of that one attempt. */
  void Resend(std::size_t aIndex, std::size_t aHost);

  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  void SetPaused(std::size_t aHost, bool aPaused);

  /** Whether crash reports reach the other hosts. */
  void SetCrashReportsDelivered(bool aTalking) {
    mCrashReportsDelivered = aTalking;
  }

  /** Probability, in percent, that a message does not simply arrive. */
  void SetFaultPercent(int aPercent) { mFaultPercent = aPercent; }

  [[nodiscard]] std::size_t Hosts() const { return mNodes.size(); }
  [[nodiscard]] const std::vector<RequestRecord>& Requests() const {
    return mRequests;
  }
  CallEngine* Engine(std::size_t aHost) { return mNodes[aHost].mEngine.get(); }
  [[nodiscard]] TimePoint Now() const { return mClock.Now(); }

  /** Why a promise was broken; empty if none was. */
  [[nodiscard]] std::string Violation() const;

 private:
  using Event = std::function<void()>;

  struct Node {
    std::unique_ptr<CallEngine> mEngine;
    std::uint64_t mGeneration = 0;
    bool mPaused = false;
    /** What waits for the process to wake. */
    std::vector<Event> mDeferredEvents;
  };

  /** Where the answer to a call goes. */
  using Reply = std::function<void(const AnswerAction&)>;

  void At(Duration aDelay, Event aEvent);
  /** Runs an event on a process later, or not at all if the process ends; a
   * frozen one runs it when it wakes. */
  void AtHost(std::size_t aHost, Duration aDelay, Event aEvent);
  void Arrive(std::size_t aHost, std::size_t aRequest, HopReason aHop,
              Reply aReply);
  void Perform(std::size_t aHost, const CallActions& aActions);
  void ToEndpoint(std::size_t aHost, const SendToEndpointAction& aAction);
  void ToHost(std::size_t aHost, const SendToHostAction& aAction);
  void Finish(std::size_t aHost, CallId aCall, const EndpointReply& aReply);
  void BroadcastCrashes(std::size_t aHost);
  bool Run(std::size_t aRequest);
  [[nodiscard]] std::string BodyOf(std::size_t aRequest) const;
  void RecordAnswer(std::size_t aRequest, const AnswerAction& aAnswer);
  void ExchangeReports();
  Delivery DrawDelivery();
  Duration DrawDelay();

  FakeClock mClock;
  std::mt19937 mRandom;
  int mFaultPercent = 0;
  bool mCrashReportsDelivered = true;
  std::shared_ptr<const Configuration> mConfiguration;
  std::vector<Node> mNodes;
  std::multimap<TimePoint, Event> mEvents;
  std::vector<RequestRecord> mRequests;
  std::set<std::size_t> mCrashing;
  std::size_t mCrashes = 0;
  CallId mLastCall = 0;
  std::map<CallId, std::pair<std::size_t, Reply>> mReplies;
};

}  // namespace papayawheel
