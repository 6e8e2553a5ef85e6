#include "core/limits/refusal_evidence.h"

#include <algorithm>

namespace papayawheel {

void RefusalEvidence::Refused(const std::string& aHost, TimePoint aTriedAt) {
  const auto [found, inserted] =
      mRefusals.try_emplace(aHost, Refusal{aTriedAt, aTriedAt});
  if (inserted) {
    return;
  }
  Refusal& refusal = found->second;
  if (aTriedAt - refusal.mLast > kRefusalLease) {
    refusal.mFirst = aTriedAt;
  }
  refusal.mLast = std::max(refusal.mLast, aTriedAt);
}

bool RefusalEvidence::IsDead(const std::string& aHost, TimePoint aNow) const {
  return DeadSince(aHost, aNow).has_value();
}

std::optional<TimePoint> RefusalEvidence::DeadSince(const std::string& aHost,
                                                    TimePoint aNow) const {
  const auto found = mRefusals.find(aHost);
  if (found == mRefusals.end() || aNow - found->second.mLast >= kRefusalLease) {
    return std::nullopt;
  }
  return found->second.mFirst;
}

}  // namespace papayawheel
