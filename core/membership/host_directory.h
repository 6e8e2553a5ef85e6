#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/config/configuration.h"
#include "core/limits/share_split.h"
#include "core/membership/membership_view.h"

namespace papayawheel {

/** How long a caller may cache an answer. A host that stops continues to listen
 * for longer than this. */
constexpr std::chrono::seconds kDirectoryAnswerTtl{5};

/** One host that a caller may use. */
struct HostChoice {
  std::string mName;
  std::string mAddress;
  /** Part of the caller's calls that should go to this host; the weights of an
   * answer add up to 1. */
  double mWeight = 0;
  /** Prefix of the request keys that this host owns. */
  std::string mKeyPrefix;
};

/** Data of the host that answers. */
struct DirectorySelf {
  std::string mName;
  std::string mKeyPrefix;
  bool mServing = false;
};

/** Chooses the hosts that a caller should use: hosts that serve and hold a
 * share of the customer's contract, with those in the caller's data centre
 * preferred. */
class HostDirectory {
 public:
  HostDirectory(const Configuration& aConfiguration,
                const MembershipView& aMembership, DirectorySelf aSelf);

  /** The choices, best first; empty if no host is known to serve.
   * @param aSplit the split of the customer's contract, null if unknown.
   * @param aDataCentre where the caller is; empty if unknown. */
  [[nodiscard]] std::vector<HostChoice> Choose(const ShareSplit* aSplit,
                                               const std::string& aCustomer,
                                               const std::string& aDataCentre,
                                               TimePoint aNow) const;

 private:
  [[nodiscard]] bool IsServing(const std::string& aHost, TimePoint aNow) const;
  [[nodiscard]] HostChoice ChoiceOf(const Host& aHost, double aWeight,
                                    TimePoint aNow) const;

  const Configuration& mConfiguration;
  const MembershipView& mMembership;
  DirectorySelf mSelf;
};

}  // namespace papayawheel
