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

/** What one host knows of one endpoint. */
struct EndpointState {
  explicit EndpointState(TimePoint aNow)
      : mReportedAt(aNow), mUsableFrom(aNow), mProbes(aNow) {}

  Endpoint mEndpoint;
  std::uint32_t mOwnInFlight = 0;
  /** Calls of other hosts, from the last report. */
  double mOtherInFlight = 0;
  TimePoint mReportedAt;
  /** Running estimate of the median time from send to answer. */
  Duration mMedian{0};
  std::uint32_t mFailuresInRow = 0;
  /** No call is sent before this time. */
  TimePoint mUsableFrom;
  /** The endpoint itself said that it is draining. */
  bool mDraining = false;
  /** This host's part of the probes that the endpoint may get. */
  TokenBucket mProbes;
};

/** Chooses the endpoint for each call of one service on one host.
 *
 * Whether a slot is free follows from the host's own calls in flight, which it
 * knows exactly, and from what the last report said of the others', which
 * fades within the time of a typical call. Which endpoint is best follows from
 * the same numbers without fading: long work that a report saw is mostly still
 * there.
 *
 * A call sent to an endpoint that was full by its last report is a probe: it
 * measures whether a slot has come free. Probes are bounded by the budget of
 * the service, of which every host has an equal part. */
class EndpointSelector {
 public:
  EndpointSelector(std::string aDataCentre, std::uint32_t aSeed);

  /** Takes over the published endpoints; what is known of those that stay is
   * kept.
   * @param aHosts hosts that share the budget of probes; 0 for no part. */
  void Configure(const Service& aService, std::size_t aHosts, TimePoint aNow);

  /** The best endpoint with a slot believed free, or nothing. */
  [[nodiscard]] std::optional<std::string> Pick(
      const std::vector<std::string>& aExcluded, TimePoint aNow);

  /** The best endpoint that was at most half full at its last report, or
   * nothing. */
  [[nodiscard]] std::optional<std::string> PickIdle(
      const std::vector<std::string>& aExcluded, TimePoint aNow);

  /** A call was sent to the endpoint. */
  void NoteAttemptStarted(const std::string& aName);

  /** A call that was sent has ended. */
  void NoteAttemptEnded(const std::string& aName, EndpointResult aResult,
                        const std::optional<LoadReport>& aReport,
                        Duration aElapsed, TimePoint aNow);

  /** The calls believed to run on an endpoint, own and others'. What a report
   * says of the others' counts less the older it is. */
  [[nodiscard]] double EstimateLoad(const EndpointState& aState,
                                    Duration aMedianTime, TimePoint aNow) const;

  [[nodiscard]] const std::map<std::string, EndpointState>& Endpoints() const {
    return mEndpoints;
  }

  /** Probes sent so far. */
  [[nodiscard]] std::uint64_t Probes() const { return mProbes; }

  /** Calls that the endpoints' free slots could take, as believed. */
  [[nodiscard]] std::uint32_t SlotsPerEndpoint() const { return mSlots; }

  /** The typical time of a call over all endpoints, from send to answer. */
  [[nodiscard]] Duration MedianCallTime() const;

 private:
  [[nodiscard]] bool IsUsable(const EndpointState& aState,
                              TimePoint aNow) const;
  using Condition = std::function<bool(const EndpointState&)>;
  EndpointState* PickWhere(const std::vector<std::string>& aExcluded,
                           const Condition& aHasRoom, Duration aMedianTime,
                           TimePoint aNow);
  [[nodiscard]] bool IsReportedFull(const EndpointState& aState) const;
  /** Whether at least half of the endpoints have nothing to do. */
  [[nodiscard]] bool IsMostlyIdle(TimePoint aNow) const;
  /** @param aOldestReport older reports are left out. */
  [[nodiscard]] double ScoreOf(const EndpointState& aState,
                               Duration aMedianTime,
                               TimePoint aOldestReport) const;
  void NoteFailure(EndpointState& aState, TimePoint aNow) const;
  static void UpdateMedian(EndpointState& aState, Duration aElapsed);

  std::string mDataCentre;
  /** Only breaks ties. */
  std::minstd_rand mRandom;
  std::uint32_t mSlots = 1;
  std::uint64_t mProbes = 0;
  std::map<std::string, EndpointState> mEndpoints;
};

}  // namespace papayawheel
