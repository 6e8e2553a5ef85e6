#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/gateway/gateway_engine.h"
#include "tests/fake_clock.h"

namespace papayawheel {

/** Drives one engine by hand and keeps what it did with every request, so that
 * a test can hold the promises against it. */
class GatewayHarness {
 public:
  static constexpr const char* kSafeHost = "read.example";
  static constexpr const char* kOnceHost = "order.example";
  static constexpr const char* kService = "service";

  /** What an attempt did, as the endpoint knows it. */
  struct Attempt {
    CallId mCall = 0;
    std::string mEndpoint;
    /** The endpoint began to run it. */
    bool mExecuted = false;
    bool mEnded = false;
  };

  /** @param aRetrySlack repeats that are allowed beyond the ratio. */
  explicit GatewayHarness(std::size_t aEndpoints, double aRetrySlack = 1000);

  /** Endpoints are asked for their load here from the next Publish() on; an
   * empty path if they cannot be asked. */
  void SetHealthPath(const std::string& aPath) { mHealthPath = aPath; }

  /** Publishes the endpoints with these numbers. */
  void Publish(const std::vector<std::size_t>& aNumbers);
  CallId SendRequest(bool aIdempotent, std::optional<Duration> aPatience = {});
  CallId SendRequestTo(const std::string& aHost, const std::string& aTarget);
  /** Endpoints crash at one moment: what runs on them is lost, and they refuse
   * connections from then on. */
  void Crash(const std::vector<std::string>& aEndpoints);
  void Advance(Duration aTime);
  /** Ends the running attempt with a number counted over those that run. */
  void End(std::size_t aNumber, AttemptResult aResult, int aStatus = 200,
           const EndpointNotice& aNotice = {});
  /** @param aSight who is met at the addresses if none answers. */
  void AnswerProbes(bool aAnswered, const EndpointNotice& aNotice = {},
                    EndpointSight aSight = EndpointSight::Unclear);
  /** Questions for loads that wait for an answer. */
  [[nodiscard]] std::size_t Probes() const { return mProbes.size(); }
  void DisconnectCaller(CallId aCall);
  void SetViewFresh(bool aTrusted);

  [[nodiscard]] std::vector<AttemptId> Running() const;
  [[nodiscard]] const std::map<AttemptId, Attempt>& Attempts() const {
    return mAttempts;
  }
  /** What each call was answered. */
  [[nodiscard]] const std::map<CallId, GatewayAnswer>& Answers() const {
    return mAnswers;
  }
  [[nodiscard]] bool IsIdempotent(CallId aCall) const {
    return mIdempotent.at(aCall);
  }
  [[nodiscard]] const std::map<CallId, bool>& Calls() const {
    return mIdempotent;
  }
  /** What requests like that of an unanswered call have in common. */
  [[nodiscard]] std::uint64_t FingerprintOf(CallId aCall) const {
    return mEngine.FingerprintOf(aCall);
  }
  /** Attempts of a call that an endpoint began to run. */
  [[nodiscard]] std::size_t Executions(CallId aCall) const;
  GatewayEngine& Engine() { return mEngine; }
  FakeClock& Time() { return mClock; }
  /** A sentence if an answer was given twice, or after the caller left. */
  [[nodiscard]] const std::string& Violation() const { return mViolation; }

 private:
  void Act(const GatewayActions& aActions);
  /** Ends the attempts that run on fallen endpoints. */
  void EndAttemptsOnCrashed(AttemptResult aResult);

  FakeClock mClock;
  GatewayEngine mEngine;
  std::map<AttemptId, Attempt> mAttempts;
  std::map<ProbeId, std::string> mProbes;
  std::map<CallId, GatewayAnswer> mAnswers;
  std::map<CallId, bool> mIdempotent;
  std::set<CallId> mDisconnected;
  std::set<std::string> mCrashed;
  CallId mLastCall = 0;
  std::uint64_t mRevision = 0;
  std::string mHealthPath = "/health";
  std::string mViolation;
};

}  // namespace papayawheel
