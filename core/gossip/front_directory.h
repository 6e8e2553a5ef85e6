#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/base/clock.h"
#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Answers callers who ask where to connect. Callers ask often and hosts change
 * seldom, so what SelectFronts() finds is kept until they change. Hosts are
 * added as soon as more is to be carried, and left out only when less has been
 * for a while, so that callers do not go to and fro. */
class FrontDirectory {
 public:
  /** @param aSelf this host as callers see it while it serves. */
  explicit FrontDirectory(MemberRecord aSelf) : mSelf(std::move(aSelf)) {}

  /** Takes over the other hosts that can be reached, and their use. */
  void SetOthers(std::vector<MemberRecord> aOthers);
  /** What this host carries. */
  void SetLoad(const HostLoad& aLoad);
  /** Whether this host is one of those that callers are sent to. */
  void SetServing(bool aServing);

  /** Addresses for the callers of a data centre; see SelectFronts(). */
  std::vector<std::string> Select(const std::string& aDataCentre,
                                  TimePoint aNow);

  /** Hosts that callers of all data centres are sent to. */
  std::size_t CountSelected(TimePoint aNow);

 private:
  struct Selection {
    std::vector<std::string> mAddresses;
    TimePoint mExpiresAt;
  };
  /** The most that was to be carried lately. */
  struct Peak {
    HostLoad mLoad;
    TimePoint mAt;
  };

  /** Hosts that may be named, with this one. */
  [[nodiscard]] std::vector<MemberRecord> Candidates() const;
  /** What is to be carried, from now and from the latest peak. */
  HostLoad DemandFor(const std::vector<MemberRecord>& aHosts,
                     const std::string& aDataCentre, TimePoint aNow);

  MemberRecord mSelf;
  bool mServing = false;
  std::vector<MemberRecord> mOthers;
  /** By data centre; only those that have hosts, so that callers who name
   * others do not fill it. */
  std::map<std::string, Selection> mSelected;
  std::map<std::string, Peak> mPeaks;
};

}  // namespace papayawheel
