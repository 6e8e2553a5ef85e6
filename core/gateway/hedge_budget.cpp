#include "core/gateway/hedge_budget.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** Length of a slot. */
constexpr std::chrono::seconds kSlotLength{1};

/** Number of parts of one hedge. Whole numbers keep the sums exact. */
constexpr std::int64_t kPartsPerHedge = 100'000'000;
constexpr double kPartsPerPercent = 1e6;

}  // namespace

HedgeBudget::HedgeBudget(double aPercent)
    : mPartsPerRequest(static_cast<std::int64_t>(
          std::clamp(aPercent, 0., 100.) * kPartsPerPercent)) {}

void HedgeBudget::NoteRequest(TimePoint aNow) {
  RemoveExpired(aNow);
  Slot& slot = CurrentSlot(aNow);
  ++slot.mRequests;
  slot.mUnspent += mPartsPerRequest;
}

bool HedgeBudget::TryTake(TimePoint aNow) {
  RemoveExpired(aNow);
  if (SpendableParts(aNow) < kPartsPerHedge) {
    return false;
  }
  std::int64_t owed = kPartsPerHedge;
  for (Slot& slot : mSlots) {
    if (aNow - slot.mStart < kWindow) {
      const std::int64_t paid = std::min(owed, slot.mUnspent);
      slot.mUnspent -= paid;
      owed -= paid;
    }
  }
  ++CurrentSlot(aNow).mHedges;
  return true;
}

double HedgeBudget::Remaining(TimePoint aNow) {
  RemoveExpired(aNow);
  return static_cast<double>(SpendableParts(aNow)) /
         static_cast<double>(kPartsPerHedge);
}

std::int64_t HedgeBudget::SpendableParts(TimePoint aNow) const {
  std::int64_t unspent = 0;
  std::int64_t inWindow = 0;
  for (const Slot& slot : mSlots) {
    if (aNow - slot.mStart < kWindow) {
      unspent += slot.mUnspent;
      inWindow += slot.mRequests * mPartsPerRequest;
    }
    inWindow -= slot.mHedges * kPartsPerHedge;
  }
  return std::max<std::int64_t>(0, std::min(unspent, inWindow));
}

void HedgeBudget::RemoveExpired(TimePoint aNow) {
  while (!mSlots.empty() &&
         aNow - mSlots.front().mStart >= kWindow + kSlotLength) {
    mSlots.pop_front();
  }
}

HedgeBudget::Slot& HedgeBudget::CurrentSlot(TimePoint aNow) {
  if (mSlots.empty() || aNow - mSlots.back().mStart >= kSlotLength) {
    mSlots.push_back(Slot{aNow});
  }
  return mSlots.back();
}

}  // namespace papayawheel
