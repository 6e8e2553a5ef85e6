#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/gossip/gossip_message.h"

namespace papayawheel {

/** Answers callers who ask where to connect. Callers ask often and hosts change
 * seldom, so what SelectFronts() finds is kept until they change. */
class FrontDirectory {
 public:
  /** @param aMost hosts to name, unless a data centre has fewer. */
  explicit FrontDirectory(std::size_t aMost) : mMost(aMost) {}

  /** Takes over the other hosts that can be reached. */
  void SetOthers(std::vector<MemberRecord> aOthers);
  /** Takes over this host; nothing while it does not serve. */
  void SetSelf(const std::optional<MemberRecord>& aSelf);

  /** Addresses for the callers of a data centre; see SelectFronts(). */
  std::vector<std::string> Select(const std::string& aDataCentre);

 private:
  [[nodiscard]] bool HasHostsIn(const std::string& aDataCentre) const;

  std::size_t mMost;
  std::vector<MemberRecord> mOthers;
  std::optional<MemberRecord> mSelf;
  /** By data centre; only those that have hosts, so that callers who name
   * others do not fill it. */
  std::map<std::string, std::vector<std::string>> mSelected;
};

}  // namespace papayawheel
