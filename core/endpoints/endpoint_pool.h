#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_limit.h"
#include "core/endpoints/endpoint_notice.h"
#include "core/endpoints/evacuation_schedule.h"
#include "core/endpoints/load_sample.h"
#include "core/endpoints/saturation_estimate.h"
#include "core/endpoints/warm_up_limit.h"
#include "core/endpoints/warm_up_share.h"

namespace papayawheel {

/** How one attempt at an endpoint ended. */
enum class AttemptResult {
  /** The endpoint's answer arrived completely. */
  Answered,
  /** The endpoint reported that it did not run the request. */
  NotExecuted,
  /** No connection was made, so nothing was sent. */
  NotConnected,
  /** The connection broke after the request was sent. */
  Lost,
  /** The answer is malformed or truncated. */
  Garbled,
  /** No answer arrived before the deadline. */
  TimedOut,
  /** This host cancelled the attempt. */
  Cancelled,
};

/** Name of a result in log lines. */
std::string_view AttemptResultName(AttemptResult aResult);

/** Selects an endpoint for each request of one service on one host.
 *
 * The time until the answer is estimated for each endpoint from the host's own
 * requests in flight, the last load report, whose weight decays with its age,
 * recent response times and recent failures. */
class EndpointPool {
 public:
  struct Choice {
    std::string mId;
    std::string mAddress;
    /** Estimated time until the answer. */
    Duration mExpected{0};
    /** Estimated number of requests at the endpoint, divided by its slots. */
    double mLoadPerSlot = 0;
    /** Estimated time as a multiple of the time on an idle endpoint. */
    double mSlowdown = 1;
    /** The part of mSlowdown that the requests at the endpoint cause. */
    double mSaturation = 1;
    /** The part of mSlowdown that a cold endpoint keeps until it is warm, if a
     * limit on requests to it is in force; otherwise 1. */
    double mColdFactor = 1;
  };

  /** The limit on requests to cold endpoints of the service. */
  struct WarmUpRules {
    /** See PlannedWarmUpRequests(); nothing if there is no limit. */
    std::optional<std::uint32_t> mPlanned{};
    /** How long an endpoint is cold after a start. */
    Duration mPeriod{0};
    /** Whether health answers say which endpoints are warm. */
    bool mIsProbed = false;

    bool operator==(const WarmUpRules&) const = default;
  };

  /** The estimate for an endpoint, which is selected by the lowest score. The
   * score is the expected time in seconds, multiplied by the factors. */
  struct ScoreParts {
    std::string mId;
    std::string mAddress;
    std::string mDataCentre;
    double mScore = 0;
    Duration mExpected{0};
    double mLoadPerSlot = 0;
    double mSlowdown = 1;
    double mFailureFactor = 1;
    double mDistanceFactor = 1;
    double mTieBreakFactor = 1;
    /** Age of the last load report. */
    Duration mReportAge{0};
  };

  /** An endpoint that should be probed for its load. */
  struct Candidate {
    std::string mId;
    std::string mAddress;
  };

  EndpointPool(std::string aDataCentre, std::uint32_t aSeed);

  /** Replaces the endpoints by the published ones of the service. The state of
   * an endpoint is kept unless it has been restarted.
   * @param aEvacuated data centres whose endpoints get no requests. */
  void Configure(const EndpointMap& aEntries, const std::string& aService,
                 TimePoint aNow, const DataCentreSet& aEvacuated = {});

  /** Sets the hosts among which the limits of endpoints are divided. */
  void SetLimitSharers(const LimitSharers& aSharers, TimePoint aNow);

  /** Sets the limit on requests to cold endpoints. */
  void SetWarmUpRules(const WarmUpRules& aRules, TimePoint aNow);
  /** Sets the hosts among which this limit is divided. */
  void SetWarmUpSharers(const WarmUpSharers& aSharers, TimePoint aNow);

  /** Returns the endpoint with the lowest estimated time until the answer,
   * adjusted for failures and distance; nothing if none is usable.
   * @param aExcluded ids that must not be selected.
   * @param aWork typical time of the request on an idle endpoint. */
  [[nodiscard]] std::optional<Choice> Pick(
      const std::vector<std::string>& aExcluded, Duration aWork,
      TimePoint aNow) const;

  /** Explains the order in which Pick() prefers the best endpoints. */
  [[nodiscard]] std::vector<ScoreParts> BestScores(
      const std::vector<std::string>& aExcluded, Duration aWork,
      std::size_t aMaxCount, TimePoint aNow) const;

  /** Like Pick(), among the endpoints that are known to be idle and not slowed
   * by a fresh report. Leaves out those that warm up, have failed recently, or
   * will stop to get requests. */
  [[nodiscard]] std::optional<Choice> PickIdle(
      const std::vector<std::string>& aExcluded, Duration aWork,
      TimePoint aNow) const;

  /** Returns up to aMaxCount endpoints whose last report is stale, the best
   * first. Endpoints that must still be full by that report are left out. */
  [[nodiscard]] std::vector<Candidate> StaleCandidates(
      const std::vector<std::string>& aExcluded, Duration aWork,
      std::size_t aMaxCount, TimePoint aNow) const;

  /** Returns some endpoints at random, first those that are not among aLast.
   * Endpoints that are paused after a failure count too. */
  [[nodiscard]] std::vector<Candidate> RandomEndpoints(
      const std::set<std::string>& aLast, std::size_t aCount,
      std::minstd_rand& aRandom, TimePoint aNow) const;

  /** Whether the last report of an endpoint is recent enough to need no probe.
   * Always true if the endpoints of the service do not report their load. */
  [[nodiscard]] bool IsFresh(const std::string& aId, TimePoint aNow) const;

  /** Whether an endpoint has reported its load. */
  [[nodiscard]] bool HasReports() const {
    return mLoadReporting == LoadReporting::Reported;
  }

  /** Records the load that an endpoint reported. */
  void NoteSample(const std::string& aId, const LoadSample& aSample,
                  TimePoint aNow);

  /** Records a notice that arrived with an answer. It holds until the endpoint
   * restarts, whatever is published of the endpoint. */
  void NoteNotice(const std::string& aId, const EndpointNotice& aNotice,
                  TimePoint aNow);

  /** Records that an endpoint did not answer a load probe. */
  void NoteUnansweredProbe(const std::string& aId, TimePoint aNow);

  /** Records that nothing answered at the address of an endpoint, which may
   * have restarted since and be cold. */
  void NoteUnreachable(const std::string& aId, TimePoint aNow);

  /** Records that a request was sent to an endpoint. */
  void NoteAttemptStarted(const std::string& aId, TimePoint aNow);

  /** Records the end of an attempt.
   * @param aFailed whether the answer reports a failure of the endpoint.
   * @param aWork as passed to Pick().
   * @param aSentAt time passed to NoteAttemptStarted(). */
  void NoteAttemptEnded(const std::string& aId, AttemptResult aResult,
                        bool aFailed, const std::optional<LoadSample>& aSample,
                        Duration aWork, TimePoint aSentAt, TimePoint aNow);

  /** Published data of an endpoint, which must be in the pool. */
  [[nodiscard]] const EndpointEntry& EntryOf(const std::string& aId) const {
    return mEndpoints.at(aId).mEntry;
  }

  /** Whether an endpoint is draining, according to the store or to its own
   * notice. */
  [[nodiscard]] bool IsDraining(const std::string& aId) const;

  /** Whether the data centre of an endpoint is evacuated. */
  [[nodiscard]] bool IsEvacuated(const std::string& aId) const;
  /** Whether there are endpoints, and all are evacuated or draining. */
  [[nodiscard]] bool IsEvacuated() const;

  /** Whether requests to an endpoint are limited as it counts as cold. */
  [[nodiscard]] bool IsLimitedAsCold(const std::string& aId,
                                     TimePoint aNow) const;
  /** The endpoints for which this is so. */
  [[nodiscard]] std::set<std::string> ColdEndpoints(TimePoint aNow) const;

  /** Number of usable endpoints, without the excluded ones. */
  [[nodiscard]] std::size_t CountUsable(
      const std::vector<std::string>& aExcluded, TimePoint aNow) const;
  /** Earliest end of a backoff that an endpoint requested; nothing if no
   * endpoint is in a backoff. Draining endpoints do not count. */
  [[nodiscard]] std::optional<TimePoint> EarliestBackoffEnd(
      TimePoint aNow) const;
  /** The same, for the earliest time at which an endpoint that is in a backoff
   * or has a limit may get a request from this host. An endpoint that only
   * seems to be cold may return with its next health answer. */
  [[nodiscard]] std::optional<TimePoint> EarliestReturn(TimePoint aNow) const;
  [[nodiscard]] std::size_t Size() const { return mEndpoints.size(); }

 private:
  /** A request of this host in flight, and what was known of the endpoint when
   * it was sent. */
  struct OwnAttempt {
    TimePoint mSentAt;
    /** Share of the slots in use, with the request; nothing if it was not known
     * or the endpoint was slower for another reason. */
    std::optional<double> mShare;
    double mReportedFactor = 1;
    bool mIsWarmingUp = false;
  };

  struct State {
    EndpointEntry mEntry;
    /** Oldest first. */
    std::vector<OwnAttempt> mOwnAttempts;
    /** Requests of other hosts, according to the last report. */
    double mOtherLoad = 0;
    /** Requests of all hosts, according to the last report. */
    double mReportedLoad = 0;
    double mServiceTimeFactor = 1;
    TimePoint mReportedAt;
    /** Response time as a multiple of what load and service time factor
     * explain; at least 1. */
    double mSlowness = 1;
    TimePoint mSlownessAt;
    /** Moving average of the share of attempts that failed, from 0 to 1. */
    double mFailures = 0;
    TimePoint mFailuresAt;
    std::uint32_t mFailuresInRow = 0;
    /** End of the pause after a connection failure or an unanswered probe. */
    TimePoint mUsableFrom;
    /** From the endpoint's notices. */
    bool mDraining = false;
    TimePoint mBackoffUntil;
    TimePoint mWarmUpUntil;
    EndpointLimit mLimit{};
    EvacuationSchedule mEvacuation{};
    WarmUpLimit mWarmUp{};
    /** Random relative penalty, which breaks ties between equal endpoints. */
    double mTieBreak = 0;
  };

  /** The notices of one start of an endpoint. */
  struct StoredNotice {
    EndpointEntry mEntry;
    bool mDraining = false;
    TimePoint mBackoffUntil;
    EndpointLimit mLimit{};
  };

  /** Whether the endpoints of the service report their load. */
  enum class LoadReporting { Unknown, Reported, Missing };

  struct Ranked {
    const State* mState = nullptr;
    double mScore = 0;
    double mSeconds = 0;
  };

  [[nodiscard]] Ranked Score(const State& aState, Duration aWork,
                             TimePoint aNow) const;
  /** Which endpoints are ranked: those that accept requests, or those that may
   * do so after their next health answer. */
  enum class Ranking { Requests, HealthAnswers };
  /** Returns up to aMaxCount usable endpoints that match, the best first. */
  [[nodiscard]] std::vector<Ranked> Rank(
      Ranking aRanking, const std::vector<std::string>& aExcluded,
      Duration aWork, std::size_t aMaxCount, TimePoint aNow,
      const std::function<bool(const State&)>& aMatches) const;
  /** Describes the choice of an endpoint. */
  [[nodiscard]] Choice MakeChoice(const Ranked& aRanked, Duration aWork,
                                  TimePoint aNow) const;
  /** Whether a usable endpoint suits PickIdle(). */
  [[nodiscard]] bool IsKnownIdle(const State& aState, Duration aWork,
                                 TimePoint aNow) const;
  void ApplySample(State& aState, const LoadSample& aSample, TimePoint aNow);
  /** Whether the endpoint was full at its last report and cannot have finished
   * enough requests since then to have a free slot. */
  [[nodiscard]] bool IsKnownFull(const State& aState, Duration aWork,
                                 TimePoint aNow) const;
  /** Whether neither the endpoint nor the store tells this host to send it
   * nothing. */
  static bool AcceptsProbes(const State& aState, TimePoint aNow);
  /** The same, also for the limit on requests to cold endpoints. */
  static bool AcceptsWork(const State& aState, TimePoint aNow);
  /** Whether a health answer may end the limit on an endpoint that counts as
   * cold. */
  [[nodiscard]] bool AwaitsHealthAnswer(const State& aState,
                                        TimePoint aNow) const;
  /** Whether an endpoint is known to be slower as it warms up. */
  [[nodiscard]] bool IsWarmingUp(const State& aState, TimePoint aNow) const;
  /** When a cold endpoint may get a request from this host. */
  [[nodiscard]] TimePoint WarmUpReturn(const State& aState,
                                       TimePoint aNow) const;
  /** Until when an endpoint that may have become cold counts as cold. */
  [[nodiscard]] TimePoint UncertainUntil(TimePoint aNow) const;
  [[nodiscard]] WarmUpLimit::Context WarmUpContext(const State& aState);
  [[nodiscard]] bool IsUsable(const State& aState, Ranking aRanking,
                              const std::vector<std::string>& aExcluded,
                              TimePoint aNow) const;
  [[nodiscard]] double ExpectedLoad(const State& aState, Duration aWork,
                                    TimePoint aNow) const;
  [[nodiscard]] double Slowdown(const State& aState, Duration aWork,
                                TimePoint aNow) const;
  [[nodiscard]] double ExpectedSeconds(const State& aState, Duration aWork,
                                       TimePoint aNow) const;
  static double Decayed(double aValue, double aTowards, Duration aAge,
                        Duration aHalfLife);
  static void NoteResponseTime(State& aState, double aExpected,
                               Duration aElapsed, TimePoint aNow);
  /** Records that an answer came without a load report or a probe was not
   * answered. */
  void NoteMissingReport();
  /** Applies stored notices to an endpoint that is published again. */
  void RestoreNotice(State& aState, TimePoint aNow);
  /** Makes room for the notices of one more endpoint. */
  void EvictNotices(TimePoint aNow);
  void NoteFailure(State& aState, bool aUnreachable, TimePoint aNow);
  [[nodiscard]] OwnAttempt MakeOwnAttempt(const State& aState,
                                          TimePoint aNow) const;
  /** Learns from the end of an attempt how load makes endpoints slower. */
  void LearnFrom(const OwnAttempt& aAttempt, AttemptResult aResult,
                 bool aFailed, Duration aWork, TimePoint aNow);

  std::string mDataCentre;
  LimitSharers mLimitSharers;
  WarmUpRules mWarmUpRules;
  WarmUpSharers mWarmUpSharers;
  std::minstd_rand mRandom;
  /** Moving averages over the reports of all endpoints: requests of other hosts
   * per slot, and the service time factor. The estimate for an endpoint
   * approaches them as its report ages. */
  double mMeanOtherLoad = 0;
  double mMeanServiceTimeFactor;
  SaturationEstimate mSaturation;
  std::map<std::string, State> mEndpoints;
  /** By id. Kept when an entry is removed, since a store that lags may still
   * list an endpoint that has drained. */
  std::map<std::string, StoredNotice> mNotices;
  LoadReporting mLoadReporting = LoadReporting::Unknown;
};

}  // namespace papayawheel
