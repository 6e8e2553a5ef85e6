#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/config/configuration.h"
#include "core/limits/token_bucket.h"
#include "core/routing/endpoint_result.h"
#include "core/routing/load_report.h"

namespace papayawheel {

/** State that one host keeps of one endpoint. */
struct EndpointState {
  explicit EndpointState(TimePoint aNow)
      : mReportedAt(aNow), mUsableFrom(aNow), mProbes(aNow) {}

  Endpoint mEndpoint;
  std::uint32_t mOwnInFlight = 0;
  /** Calls of other hosts in flight, according to the last report. */
  double mOtherInFlight = 0;
  TimePoint mReportedAt;
  /** Running estimate of the median time from send to answer; zero before the
   * first answer. */
  Duration mMedian{0};
  std::uint32_t mFailuresInRow = 0;
  /** End of the pause after a failure; no call is sent before it. */
  TimePoint mUsableFrom;
  /** Whether the endpoint's last report said that it is draining. */
  bool mDraining = false;
  /** This host's part of the probe budget of the endpoint. */
  TokenBucket mProbes;
};

/** Selects the endpoint for each call of one service on one host.
 *
 * Whether a slot is free is estimated from the host's own calls in flight,
 * which it knows exactly, and from the calls of other hosts in the last report,
 * which decay within about the median time of a call. Endpoints are ranked by
 * the same numbers without decay, since long work that was running at the
 * report is mostly still running.
 *
 * A call sent to an endpoint that was full at its last report is a probe: its
 * result shows whether a slot has become free. Probes are limited by the budget
 * of the service, of which every host has an equal part. */
class EndpointSelector {
 public:
  EndpointSelector(std::string aDataCentre, std::uint32_t aSeed);

  /** Replaces the endpoints by the published ones. The state of an endpoint is
   * kept unless its address has changed.
   * @param aHosts number of hosts that share the probe budget; 0 if this host
   * has no part of it. */
  void Configure(const Service& aService, std::size_t aHosts, TimePoint aNow);

  /** Returns the best endpoint that is estimated to have a free slot, or
   * nothing. This may spend a probe. */
  [[nodiscard]] std::optional<std::string> Pick(
      const std::vector<std::string>& aExcluded, TimePoint aNow);

  /** Returns the best endpoint that would be at most half full with one more
   * call, by its last report, or nothing. */
  [[nodiscard]] std::optional<std::string> PickIdle(
      const std::vector<std::string>& aExcluded, TimePoint aNow);

  /** Records that a call was sent to an endpoint. */
  void NoteAttemptStarted(const std::string& aName);

  /** Records the end of a call that was sent to an endpoint. */
  void NoteAttemptEnded(const std::string& aName, EndpointResult aResult,
                        const std::optional<LoadReport>& aReport,
                        Duration aElapsed, TimePoint aNow);

  /** Estimated number of calls at an endpoint, from all hosts. The calls of
   * other hosts in a report decay with its age. */
  [[nodiscard]] double EstimateLoad(const EndpointState& aState,
                                    Duration aMedianTime, TimePoint aNow) const;

  [[nodiscard]] const std::map<std::string, EndpointState>& Endpoints() const {
    return mEndpoints;
  }

  /** Number of probes sent so far. */
  [[nodiscard]] std::uint64_t Probes() const { return mProbes; }

  /** Number of calls that one endpoint runs at once. */
  [[nodiscard]] std::uint32_t SlotsPerEndpoint() const { return mSlots; }

  /** Median over all endpoints of their median time from send to answer; zero
   * before the first answer. */
  [[nodiscard]] Duration MedianCallTime() const;

 private:
  [[nodiscard]] bool IsUsable(const EndpointState& aState,
                              TimePoint aNow) const;
  using Condition = std::function<bool(const EndpointState&)>;
  EndpointState* PickWhere(const std::vector<std::string>& aExcluded,
                           const Condition& aHasRoom, Duration aMedianTime,
                           TimePoint aNow);
  /** Whether this host's calls in flight and the others' in the last report
   * take all slots. */
  [[nodiscard]] bool IsReportedFull(const EndpointState& aState) const;
  /** Whether at least half of the usable endpoints are idle. */
  [[nodiscard]] bool IsMostlyIdle(TimePoint aNow) const;
  /** Load of an endpoint, adjusted for distance and slowness; lower is better.
   * @param aOldestReport reports older than this are ignored. */
  [[nodiscard]] double ScoreOf(const EndpointState& aState,
                               Duration aMedianTime,
                               TimePoint aOldestReport) const;
  void NoteFailure(EndpointState& aState, TimePoint aNow) const;
  static void UpdateMedian(EndpointState& aState, Duration aElapsed);

  std::string mDataCentre;
  /** Only used to break ties. */
  std::minstd_rand mRandom;
  std::uint32_t mSlots = 1;
  std::uint64_t mProbes = 0;
  std::map<std::string, EndpointState> mEndpoints;
};

}  // namespace papayawheel
