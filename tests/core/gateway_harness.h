#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/gateway/gateway_engine.h"
#include "tests/fake_clock.h"

namespace papayawheel {

/** Statuses that tell a caller that its request was not run. */
inline constexpr std::array kRefusals = {408, 421, 429, 503};

/** The status that the caller gets. */
int StatusOf(const GatewayAnswer& aAnswer);

/** Whether an answer tells the caller that the request was not run. */
bool IsRefusal(const GatewayAnswer& aAnswer);

/** Drives one engine on a fake clock and records what it did with each request,
 * so that tests can check its guarantees. */
class GatewayHarness {
 public:
  static constexpr const char* kSafeHost = "read.example";
  static constexpr const char* kOnceHost = "order.example";
  static constexpr const char* kService = "service";
  static constexpr const char* kDataCentre = "dc";

  /** An attempt as the endpoint sees it. */
  struct Attempt {
    CallId mCall = 0;
    std::string mEndpoint;
    /** The endpoint started to run it. */
    bool mExecuted = false;
    bool mEnded = false;
  };

  /** @param aRetrySlack retries that are allowed in addition to the ratio. */
  explicit GatewayHarness(std::size_t aEndpoints, double aRetrySlack = 1000);

  /** Sets the path for load probes from the next Publish() on; empty for
   * endpoints that cannot be probed. */
  void SetHealthPath(const std::string& aPath) { mHealthPath = aPath; }

  /** Sets whether the data centre of all endpoints is evacuated, and publishes
   * them again. */
  void SetEvacuated(bool aIsEvacuated);
  /** Sets the rate limit of cold endpoints from the next Publish() on. */
  void SetWarmUp(double aPerSecond, Duration aPeriod) {
    mWarmUpRate = aPerSecond;
    mWarmUpPeriod = aPeriod;
  }
  /** Sets for how long the endpoints are published as cold from the next
   * Publish() on. */
  void SetWarmUpRemaining(Duration aRemaining) {
    mWarmUpRemaining = aRemaining;
  }

  /** Publishes the endpoints with these numbers. */
  void Publish(const std::vector<std::size_t>& aNumbers);
  CallId SendRequest(bool aIdempotent,
                     std::optional<Duration> aCallerTimeout = {});
  CallId SendRequestTo(const std::string& aHost, const std::string& aTarget);
  /** Crashes endpoints at one moment: running attempts are lost, and
   * connections are refused from then on. */
  void Crash(const std::vector<std::string>& aEndpoints);
  void Advance(Duration aTime);
  /** Ends a running attempt.
   * @param aNumber its index in Running(), modulo its size. */
  void End(std::size_t aNumber, AttemptResult aResult, int aStatus = 200,
           const EndpointNotice& aNotice = {});
  /** @param aLiveness the result of probes that are not answered, except at
   * crashed endpoints. */
  void AnswerProbes(bool aAnswered, const EndpointNotice& aNotice = {},
                    EndpointLiveness aLiveness = EndpointLiveness::Unknown);
  /** Answers the probes of endpoints that are up, each of which says for how
   * long it is cold.
   * @param aColdFor its time for an endpoint; nothing if it does not answer. */
  void AnswerProbesAs(
      const std::function<std::optional<Duration>(const std::string&)>&
          aColdFor);
  /** Number of unanswered probes. */
  [[nodiscard]] std::size_t Probes() const { return mProbes.size(); }
  void DisconnectCaller(CallId aCall);
  void SetViewFresh(bool aFresh);
  /** Ends all calls, as a host that stops does. */
  void EndAllCalls();
  /** Sets the services that other hosts have lost. */
  void CheckServices(const std::set<std::string>& aServices);

  [[nodiscard]] std::vector<AttemptId> Running() const;
  [[nodiscard]] const std::map<AttemptId, Attempt>& Attempts() const {
    return mAttempts;
  }
  /** The answer of each answered call. */
  [[nodiscard]] const std::map<CallId, GatewayAnswer>& Answers() const {
    return mAnswers;
  }
  [[nodiscard]] bool IsIdempotent(CallId aCall) const {
    return mIdempotent.at(aCall);
  }
  [[nodiscard]] const std::map<CallId, bool>& Calls() const {
    return mIdempotent;
  }
  /** The fingerprint of an unanswered call. */
  [[nodiscard]] std::uint64_t FingerprintOf(CallId aCall) const {
    return mEngine.FingerprintOf(aCall);
  }
  /** Number of attempts of a call that an endpoint may have started to run. */
  [[nodiscard]] std::size_t Executions(CallId aCall) const;
  GatewayEngine& Engine() { return mEngine; }
  FakeClock& Time() { return mClock; }
  /** Describes a call that was answered twice or after its caller disconnected,
   * or sent after its answer; empty if there is none. */
  [[nodiscard]] const std::string& Violation() const { return mViolation; }

 private:
  void Act(const GatewayActions& aActions);
  /** Ends the attempts that run on crashed endpoints. */
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
  std::vector<std::size_t> mPublished;
  bool mIsEvacuated = false;
  double mWarmUpRate = 0;
  Duration mWarmUpPeriod{0};
  Duration mWarmUpRemaining{0};
  std::string mViolation;
};

}  // namespace papayawheel
