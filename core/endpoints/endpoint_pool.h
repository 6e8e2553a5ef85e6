#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_notice.h"
#include "core/endpoints/load_sample.h"

namespace papayawheel {

/** How one attempt at an endpoint ended. */
enum class AttemptResult {
  /** The whole answer of the endpoint arrived. */
  Answered,
  /** The endpoint said that it did not run the request. */
  NotExecuted,
  /** No connection was made, so nothing was sent. */
  NotConnected,
  /** The connection broke after the request was sent. */
  Lost,
  /** What arrived is not a whole answer. */
  Garbled,
  /** Nothing arrived in time. */
  TimedOut,
  /** It was ended from here. */
  Cancelled,
};

/** The word of a result in logs. */
std::string_view AttemptResultName(AttemptResult aResult);

/** Chooses among the endpoints of one service on one host.
 *
 * The time until an answer is estimated for each endpoint from the host's own
 * requests in flight, from the last load report, which counts less as it ages,
 * from how fast the endpoint answered lately and from its recent failures. */
class EndpointPool {
 public:
  struct Choice {
    std::string mId;
    std::string mAddress;
    /** Time until the answer, as believed. */
    Duration mExpected{0};
    /** Requests believed to be ahead, as a multiple of the slots. */
    double mLoadPerSlot = 0;
    /** How many times longer than on a quiet, idle endpoint it takes. */
    double mSlowdown = 1;
  };

  /** An endpoint whose load should be asked for. */
  struct Candidate {
    std::string mId;
    std::string mAddress;
  };

  EndpointPool(std::string aDataCentre, std::uint32_t aSeed);

  /** Takes over the published endpoints of the service; what is known of those
   * that stay is kept. */
  void Configure(const EndpointMap& aEntries, const std::string& aService,
                 TimePoint aNow);

  /** The endpoint that is expected to answer first.
   * @param aExcluded ids that must not be chosen.
   * @param aWork typical time of the request on an idle endpoint. */
  [[nodiscard]] std::optional<Choice> Pick(
      const std::vector<std::string>& aExcluded, Duration aWork,
      TimePoint aNow) const;

  /** The endpoints that Pick() would prefer but whose last report is old, but
   * for those that cannot have worked off since then what they told.
   * @param aMaxCount how many to name, those with fresh reports included. */
  [[nodiscard]] std::vector<Candidate> StaleCandidates(
      const std::vector<std::string>& aExcluded, Duration aWork,
      std::size_t aMaxCount, TimePoint aNow) const;

  /** Whether the last report of an endpoint is as good as a new one. Always so
   * if the endpoints of the service were asked in vain for their load. */
  [[nodiscard]] bool IsFresh(const std::string& aId, TimePoint aNow) const;

  /** An endpoint told its load. */
  void NoteSample(const std::string& aId, const LoadSample& aSample,
                  TimePoint aNow);

  /** An endpoint asked for something on an answer. What it said holds for its
   * present start, whatever is published of it. */
  void NoteNotice(const std::string& aId, const EndpointNotice& aNotice,
                  TimePoint aNow);

  /** An endpoint that was asked for its load did not answer. */
  void NoteUnansweredProbe(const std::string& aId, TimePoint aNow);

  void NoteAttemptStarted(const std::string& aId, TimePoint aNow);

  /** An attempt has ended.
   * @param aSentAt when NoteAttemptStarted() was called for it.
   * @param aWork as given to Pick().
   * @param aFailed the answer says that the endpoint failed. */
  void NoteAttemptEnded(const std::string& aId, AttemptResult aResult,
                        bool aFailed, const std::optional<LoadSample>& aSample,
                        Duration aWork, TimePoint aSentAt, TimePoint aNow);

  /** What is published of an endpoint that was picked. */
  [[nodiscard]] const EndpointEntry& EntryOf(const std::string& aId) const {
    return mEndpoints.at(aId).mEntry;
  }

  /** Whether an endpoint is about to end, by what is published of it or by its
   * own word. */
  [[nodiscard]] bool IsDraining(const std::string& aId) const;

  /** Endpoints that may be chosen now, but for some. */
  [[nodiscard]] std::size_t CountUsable(
      const std::vector<std::string>& aExcluded, TimePoint aNow) const;
  /** When the first of the endpoints that asked to be left alone for a while
   * may be chosen again; nothing if none of them will be. */
  [[nodiscard]] std::optional<TimePoint> EarliestBackoffEnd(
      TimePoint aNow) const;
  [[nodiscard]] std::size_t Size() const { return mEndpoints.size(); }

 private:
  struct State {
    EndpointEntry mEntry;
    /** Send times of the host's own requests in flight, oldest first. */
    std::vector<TimePoint> mOwnSendTimes;
    /** Requests of other hosts, from the last report. */
    double mOtherLoad = 0;
    /** All requests, from the last report. */
    double mReportedLoad = 0;
    double mServiceTimeFactor = 1;
    TimePoint mReportedAt;
    /** Answers take this many times as long as load and pace explain. */
    double mSlowness = 1;
    TimePoint mSlownessAt;
    /** Part of the latest attempts that failed. */
    double mFailures = 0;
    TimePoint mFailuresAt;
    std::uint32_t mFailuresInRow = 0;
    /** No request is sent before this time. */
    TimePoint mUsableFrom;
    /** What it asked for. */
    bool mDraining = false;
    TimePoint mBackoffUntil;
    TimePoint mWarmUpUntil;
    /** Part by which this host likes it less than others that are as good. */
    double mTieBreak = 0;
  };

  /** What one start of an endpoint asked for. */
  struct StoredNotice {
    EndpointEntry mEntry;
    bool mDraining = false;
    TimePoint mBackoffUntil;
  };

  /** Whether endpoints of the service tell their load. */
  enum class LoadReporting { Unknown, Reported, Missing };

  struct Ranked {
    const State* mState = nullptr;
    double mScore = 0;
    double mSeconds = 0;
  };

  [[nodiscard]] Ranked Score(const State& aState, Duration aWork,
                             TimePoint aNow) const;
  /** The best endpoints that may be chosen, the best first. */
  [[nodiscard]] std::vector<Ranked> Rank(
      const std::vector<std::string>& aExcluded, Duration aWork,
      std::size_t aMaxCount, TimePoint aNow) const;
  void ApplySample(State& aState, const LoadSample& aSample, TimePoint aNow);
  /** Whether the last report said that it is full, and so lately that it must
   * still be. */
  [[nodiscard]] bool IsKnownFull(const State& aState, Duration aWork,
                                 TimePoint aNow) const;
  [[nodiscard]] bool IsUsable(const State& aState,
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
  /** An endpoint that was asked told nothing. */
  void NoteMissingReport();
  /** Applies what an endpoint asked for before it was published anew. */
  void RestoreNotice(State& aState) const;
  /** Makes room for what one more endpoint asks for. */
  void EvictNotices(TimePoint aNow);
  void NoteFailure(State& aState, bool aUnreachable, TimePoint aNow);

  std::string mDataCentre;
  std::minstd_rand mRandom;
  /** What endpoints usually tell: requests of other hosts for each slot, and
   * the pace. Those without a fresh report are taken to be like this. */
  double mMeanOtherLoad = 0;
  double mMeanServiceTimeFactor;
  std::map<std::string, State> mEndpoints;
  /** By id. Outlives the entries: a store that lags lists endpoints that have
   * left. */
  std::map<std::string, StoredNotice> mNotices;
  LoadReporting mLoadReporting = LoadReporting::Unknown;
};

}  // namespace papayawheel
