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

/** Simulates several engines, the network between them, endpoints that run the
 * requests they receive, and callers that repeat requests on other hosts. */
class EngineFleet {
 public:
  /** Result of the delivery of one message to an endpoint or a host. */
  enum class Delivery {
    Delivered,
    /** No connection was made. */
    NotConnected,
    /** The message was delivered, but its answer is lost. */
    AnswerLost,
    /** The connection breaks before the message is delivered. */
    RequestLost,
    /** The endpoint refuses the request. */
    Shed,
  };

  /** What happened to one request, and what its caller was told. */
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

  /** Creates a request that may run only once, with a key of a host. Returns
   * its index. */
  std::size_t NewOrder(std::size_t aKeyHost);

  /** Creates a request that may run several times. Returns its index. */
  std::size_t NewQuery();

  /** Makes a request crash the endpoint that runs it. All such requests have
   * the same target. */
  void MarkCrashing(std::size_t aRequest) { mCrashing.insert(aRequest); }
  [[nodiscard]] std::size_t Crashes() const { return mCrashes; }

  /** Sends a request to a host, for the first time or as a repeat. */
  void Send(std::size_t aRequest, std::size_t aHost);

  /** Sends a request again if it is an order. Queries are sent only once, so
   * that the reported outcome can be compared with that one attempt. */
  void Resend(std::size_t aIndex, std::size_t aHost);

  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  void SetPaused(std::size_t aHost, bool aPaused);

  /** Sets whether crash reports reach the other hosts. */
  void SetCrashReportsDelivered(bool aTalking) {
    mCrashReportsDelivered = aTalking;
  }

  /** Sets the probability, in percent, of a delivery fault or a delay. */
  void SetFaultPercent(int aPercent) { mFaultPercent = aPercent; }

  /** Sets that endpoints run every other request and then refuse it, without a
   * statement that it was not run. */
  void SetRefusing(bool aIsRefusing) { mIsRefusing = aIsRefusing; }

  [[nodiscard]] std::size_t Hosts() const { return mNodes.size(); }
  [[nodiscard]] const std::vector<RequestRecord>& Requests() const {
    return mRequests;
  }
  CallEngine* Engine(std::size_t aHost) { return mNodes[aHost].mEngine.get(); }
  [[nodiscard]] TimePoint Now() const { return mClock.Now(); }

  /** Describes a violated guarantee; empty if there is none. */
  [[nodiscard]] std::string Violation() const;

 private:
  using Event = std::function<void()>;

  struct Node {
    std::unique_ptr<CallEngine> mEngine;
    std::uint64_t mGeneration = 0;
    bool mPaused = false;
    /** Events that wait until the process resumes. */
    std::vector<Event> mDeferredEvents;
  };

  /** Receives the answer to a call. */
  using Reply = std::function<void(const AnswerAction&)>;

  void At(Duration aDelay, Event aEvent);
  /** Schedules an event in a host's process. It is dropped if the process ends,
   * and deferred until a suspended process resumes. */
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
  bool mIsRefusing = false;
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
