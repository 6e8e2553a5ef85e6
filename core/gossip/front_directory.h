#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Answers callers who ask where to connect. Callers ask often and hosts change
 * seldom, so what SelectFronts() finds is kept until they change. */
class FrontDirectory {
 public:
  /** @param aSelf this host as callers see it while it serves.
   * @param aMost hosts to name, unless a data centre has fewer. */
  FrontDirectory(MemberRecord aSelf, std::size_t aMost)
      : mSelf(std::move(aSelf)), mMost(aMost) {}

  /** Takes over the other hosts that can be reached. */
  void SetOthers(std::vector<MemberRecord> aOthers);
  /** Whether this host is one of those that callers are sent to. */
  void SetServing(bool aServes);

  /** Addresses for the callers of a data centre; see SelectFronts(). */
  std::vector<std::string> Select(const std::string& aDataCentre);

 private:
  MemberRecord mSelf;
  std::size_t mMost;
  bool mServes = false;
  std::vector<MemberRecord> mOthers;
  /** By data centre; only those that have hosts, so that callers who name
   * others do not fill it. */
  std::map<std::string, std::vector<std::string>> mSelected;
};

}  // namespace papayawheel
