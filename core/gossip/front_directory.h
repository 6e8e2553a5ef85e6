#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/base/clock.h"
#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Answers callers that ask which hosts to connect to.
 *
 * Selections are cached, because callers ask often and hosts change seldom.
 * Hosts are added as soon as the load rises, but removed only after it has been
 * lower for a while, so that callers do not move back and forth. */
class FrontDirectory {
 public:
  /** @param aSelf this host's record, used while it serves callers. */
  explicit FrontDirectory(MemberRecord aSelf) : mSelf(std::move(aSelf)) {}

  /** Sets the other reachable hosts, with their load. */
  void SetOthers(std::vector<MemberRecord> aOthers);
  /** Sets the load of this host. */
  void SetLoad(const HostLoad& aLoad);
  /** Sets which services this host has lost. */
  void SetReach(const ServiceReach& aReach);
  /** Sets whether callers may be sent to this host. */
  void SetServing(bool aServing);

  /** Addresses for the callers of a data centre; see SelectFronts(). */
  std::vector<std::string> Select(const std::string& aDataCentre,
                                  TimePoint aNow);

  /** The hosts that the callers of any data centre are sent to. */
  std::vector<MemberRecord> Selected(TimePoint aNow);

 private:
  struct Selection {
    std::vector<std::string> mAddresses;
    TimePoint mExpiresAt;
  };
  /** Highest recent demand of a data centre, as decayed until mAt. */
  struct Peak {
    HostLoad mLoad;
    TimePoint mAt;
  };

  /** The other reachable hosts, and this one if it serves. */
  [[nodiscard]] std::vector<MemberRecord> Candidates() const;
  /** Current demand of a data centre, or its decayed peak if that is higher.
   * Updates the peak. */
  HostLoad DemandFor(const std::vector<MemberRecord>& aHosts,
                     const std::string& aDataCentre, TimePoint aNow);

  MemberRecord mSelf;
  bool mServing = false;
  std::vector<MemberRecord> mOthers;
  /** Cached selections by data centre. Only data centres that have hosts are
   * kept, so that requests with unknown names cannot fill the map. */
  std::map<std::string, Selection> mSelected;
  std::map<std::string, Peak> mPeaks;
};

}  // namespace papayawheel
