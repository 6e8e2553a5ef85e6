#include "core/view/confirmation_history.h"

namespace papayawheel {
namespace {

/** Answers that are remembered. Some hosts may call the store at the same time,
 * each of which gets an answer. */
constexpr std::size_t kMaxAnswers = 512;

}  // namespace

TimePoint ConfirmationHistory::DateOf(std::uint64_t aId, TimePoint aAt) {
  if (aId == 0) {
    return aAt;
  }
  const auto [known, isNew] = mDates.try_emplace(aId, aAt);
  if (!isNew) {
    return known->second;
  }
  mOrder.push_back(aId);
  if (mOrder.size() > kMaxAnswers) {
    mDates.erase(mOrder.front());
    mOrder.pop_front();
  }
  return aAt;
}

}  // namespace papayawheel
