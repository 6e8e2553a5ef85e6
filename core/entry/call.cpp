#include "core/entry/call.h"

namespace papayawheel {

std::string_view HopReasonName(HopReason aReason) {
  switch (aReason) {
    case HopReason::None:
      return "none";
    case HopReason::KeyOwner:
      return "key_owner";
    case HopReason::Quota:
      return "rights";
    case HopReason::Suspect:
      return "suspect";
  }
  return "none";
}

std::optional<HopReason> HopReasonNamed(std::string_view aName) {
  for (HopReason reason : {HopReason::None, HopReason::KeyOwner,
                           HopReason::Quota, HopReason::Suspect}) {
    if (HopReasonName(reason) == aName) {
      return reason;
    }
  }
  return std::nullopt;
}

}  // namespace papayawheel
