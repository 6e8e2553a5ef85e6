#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** The hosts among which the requests to cold endpoints are divided. */
struct WarmUpSharers {
  /** Name of this host. */
  std::string mSelf;
  /** Names of all known hosts, reachable or not, with this one. */
  std::vector<std::string> mHosts;
  /** This host sends nothing to cold endpoints before, as it may not know the
   * fleet yet. */
  TimePoint mSettledAt = TimePoint::max();
};

/** Decides when one host may send a request to an endpoint that is or may be
 * cold. The host has a share of the requests of a second, which it sends at
 * equal intervals. An unused interval is lost, so hosts that start or change
 * send no bursts. */
class WarmUpLimit {
 public:
  /** What the decision depends on, besides the endpoint's own state. */
  struct Context {
    const std::string& mEndpoint;
    /** Planned requests of all hosts in a second; see PlannedWarmUpRequests().
     * Nothing if the service has no limit. */
    std::optional<std::uint32_t> mPlanned;
    const WarmUpSharers& mSharers;
    std::minstd_rand& mRandom;
  };

  /** The store says that the endpoint is cold for a time, which may have begun
   * long ago. */
  void NotePublished(Duration aColdFor, const Context& aContext,
                     TimePoint aNow);
  /** The endpoint's health answer says for how long it is cold; zero if it is
   * warm. */
  void NoteAnswer(Duration aColdFor, const Context& aContext, TimePoint aNow);
  /** The endpoint may have become cold. It counts as cold until its health
   * answer says otherwise or a time has passed. */
  void NoteUncertain(TimePoint aUntil, const Context& aContext, TimePoint aNow);
  /** Computes the share again. The sharers or the plan may have changed. */
  void UpdateShare(const Context& aContext, TimePoint aNow);
  /** A request was sent to the endpoint. */
  void NoteSent(TimePoint aNow);

  [[nodiscard]] bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }
  /** Whether the endpoint counts as cold, but its health answer has not said
   * so. */
  [[nodiscard]] bool IsUncertain(TimePoint aNow) const {
    return IsCold(aNow) && !mIsConfirmed;
  }
  /** Whether a limit is in force. */
  [[nodiscard]] bool IsLimited(TimePoint aNow) const {
    return mHasPlan && IsCold(aNow);
  }
  /** When this host may send the next request, as far as the limit is
   * concerned; never for a host without a share. */
  [[nodiscard]] TimePoint NextAt(TimePoint aNow) const;

 private:
  void SetColdUntil(TimePoint aUntil, bool aIsConfirmed,
                    const Context& aContext, TimePoint aNow);
  /** Time between two requests. */
  [[nodiscard]] Duration Interval() const;

  TimePoint mColdUntil = TimePoint::min();
  bool mIsConfirmed = false;
  bool mHasPlan = false;
  /** Requests per second that this host may send while the endpoint is cold. */
  std::uint32_t mShare = 0;
  TimePoint mNextAt = TimePoint::max();
  TimePoint mSentAt = TimePoint::min();
};

}  // namespace papayawheel
