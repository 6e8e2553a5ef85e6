#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_entry.h"
#include "core/endpoints/endpoint_notice.h"
#include "core/endpoints/limit_share.h"

namespace papayawheel {

/** The hosts among which the limits of endpoints are divided. */
struct LimitSharers {
  /** This host's address for callers. */
  std::string mSelf;
  std::vector<CallerHost> mHosts;
};

/** Keeps one host to its share of the limit that an endpoint names. The share
 * allows one request at a time, at its rate; it does not accumulate, and a new
 * share starts with a wait. So hosts that start or change send no bursts. */
class EndpointLimit {
 public:
  /** Applies what an answer says of the limit. */
  void Note(const EndpointEntry& aEntry, const EndpointNotice& aNotice,
            const LimitSharers& aSharers, std::minstd_rand& aRandom,
            TimePoint aNow);
  /** Computes the share again. The sharers may have changed. */
  void UpdateShare(const EndpointEntry& aEntry, const LimitSharers& aSharers,
                   std::minstd_rand& aRandom, TimePoint aNow);
  /** A request was sent to the endpoint. */
  void NoteSent(TimePoint aNow);

  /** Requests per second that the endpoint accepts from all hosts together;
   * empty if it names no limit. */
  [[nodiscard]] std::optional<double> Limit() const { return mLimit; }
  /** When this host may send the next request; at any time if there is no
   * limit.
   */
  [[nodiscard]] TimePoint NextAt() const {
    return mLimit ? mNextAt : TimePoint::min();
  }

 private:
  static TimePoint After(double aRate, TimePoint aNow);

  std::optional<double> mLimit;
  /** Requests per second that this host may send. */
  double mShare = 0;
  TimePoint mNextAt;
  /** Whether the endpoint's answers to probes name the limit. */
  bool mIsNamedByProbes = false;
};

}  // namespace papayawheel
