#include "core/membership/host_directory.h"

#include <algorithm>
#include <utility>

#include "core/base/rendezvous.h"
#include "core/outcome/request_key.h"

namespace papayawheel {
namespace {

/** Maximum number of hosts in one answer. */
constexpr std::size_t kMaxChoices = 4;

/** Minimum number of hosts in one answer, if so many serve. */
constexpr std::size_t kMinChoices = 2;

/** Weight of a host without a share. A share holder weighs 1 for each
 * concurrent call of its share. */
constexpr double kBackupWeight = 0.01;

/** Weight factor for share holders in the caller's data centre. */
constexpr double kSameDataCentreFactor = 4;

}  // namespace

HostDirectory::HostDirectory(const Configuration& aConfiguration,
                             const MembershipView& aMembership,
                             DirectorySelf aSelf)
    : mConfiguration(aConfiguration),
      mMembership(aMembership),
      mSelf(std::move(aSelf)) {}

std::vector<HostChoice> HostDirectory::Choose(const ShareSplit* aSplit,
                                              const std::string& aCustomer,
                                              const std::string& aDataCentre,
                                              TimePoint aNow) const {
  std::vector<HostChoice> choices;
  std::vector<std::string> others;
  for (const auto& [name, host] : mConfiguration.mHosts) {
    if (!IsServing(name, aNow)) {
      continue;
    }
    const double share =
        aSplit == nullptr ? 0 : aSplit->ShareOf(name).mConcurrency;
    if (share <= 0) {
      others.push_back(name);
      continue;
    }
    const bool near = host.mDataCentre == aDataCentre;
    choices.push_back(
        ChoiceOf(host, near ? share * kSameDataCentreFactor : share, aNow));
  }
  for (const std::string& name : RankByRendezvous(aCustomer, others)) {
    if (choices.size() >= kMinChoices) {
      break;
    }
    choices.push_back(
        ChoiceOf(mConfiguration.mHosts.at(name), kBackupWeight, aNow));
  }
  // The order among equals differs from customer to customer, so that large
  // customers do not all use the same few hosts.
  std::stable_sort(choices.begin(), choices.end(),
                   [&](const HostChoice& aLeft, const HostChoice& aRight) {
                     if (aLeft.mWeight != aRight.mWeight) {
                       return aLeft.mWeight > aRight.mWeight;
                     }
                     return StableHash(aCustomer + aLeft.mName) <
                            StableHash(aCustomer + aRight.mName);
                   });
  choices.resize(std::min(choices.size(), kMaxChoices));
  double sum = 0;
  for (const HostChoice& choice : choices) {
    sum += choice.mWeight;
  }
  for (HostChoice& choice : choices) {
    choice.mWeight /= sum;
  }
  return choices;
}

bool HostDirectory::IsServing(const std::string& aHost, TimePoint aNow) const {
  if (mConfiguration.mHosts.at(aHost).mState == NodeState::Leaving) {
    return false;
  }
  if (aHost == mSelf.mName) {
    return mSelf.mServing;
  }
  return mMembership.StatusOf(aHost, aNow) == HostStatus::Serving;
}

HostChoice HostDirectory::ChoiceOf(const Host& aHost, double aWeight,
                                   TimePoint aNow) const {
  HostChoice choice{aHost.mName, aHost.mAddress, aWeight, mSelf.mKeyPrefix};
  if (aHost.mName != mSelf.mName) {
    const MembershipView::LastHeartbeat* const last =
        mMembership.LastHeartbeatOf(aHost.mName);
    const auto uptime = std::chrono::duration_cast<std::chrono::seconds>(
        last->mHeartbeat.mUptime + (aNow - last->mAt));
    choice.mKeyPrefix =
        WriteKeyPrefix(aHost.mName, last->mHeartbeat.mIncarnation, uptime);
  }
  return choice;
}

}  // namespace papayawheel
