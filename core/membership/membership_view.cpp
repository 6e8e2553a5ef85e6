#include "core/membership/membership_view.h"

namespace papayawheel {
namespace {

/** Failed heartbeats in a row after which a host is unresponsive. */
constexpr std::uint32_t kMaxMissedHeartbeats = 2;

/** Heartbeat periods without a heartbeat after which a host is unresponsive. */
constexpr int kMaxPeriodsWithoutHeartbeat = 3;

}  // namespace

std::string_view HostStatusName(HostStatus aStatus) {
  switch (aStatus) {
    case HostStatus::Unknown:
      return "unheard";
    case HostStatus::Serving:
      return "serving";
    case HostStatus::NotServing:
      return "not_serving";
    case HostStatus::Unresponsive:
      return "silent";
  }
  return "unheard";
}

void MembershipView::NoteHeartbeat(const Heartbeat& aHeartbeat,
                                   TimePoint aNow) {
  mHosts[aHeartbeat.mHost] = LastHeartbeat{aHeartbeat, aNow, 0};
}

void MembershipView::NoteMissedHeartbeat(const std::string& aHost) {
  const auto found = mHosts.find(aHost);
  if (found != mHosts.end()) {
    ++found->second.mMisses;
  }
}

HostStatus MembershipView::StatusOf(const std::string& aHost,
                                    TimePoint aNow) const {
  const auto found = mHosts.find(aHost);
  if (found == mHosts.end()) {
    return HostStatus::Unknown;
  }
  const LastHeartbeat& last = found->second;
  if (last.mMisses >= kMaxMissedHeartbeats ||
      aNow - last.mAt > mPeriod * kMaxPeriodsWithoutHeartbeat) {
    return HostStatus::Unresponsive;
  }
  const bool serving = last.mHeartbeat.mReady && !last.mHeartbeat.mDraining;
  return serving ? HostStatus::Serving : HostStatus::NotServing;
}

const MembershipView::LastHeartbeat* MembershipView::LastHeartbeatOf(
    const std::string& aHost) const {
  const auto found = mHosts.find(aHost);
  return found == mHosts.end() ? nullptr : &found->second;
}

}  // namespace papayawheel
