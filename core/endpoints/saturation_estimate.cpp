#include "core/endpoints/saturation_estimate.h"

#include <algorithm>
#include <cmath>

namespace papayawheel {
namespace {

/** What is assumed before the first answer: the share of the slots in use above
 * which endpoints become slower, the factor by which they do, and the factor
 * while they warm up. */
constexpr double kInitialThreshold = 0.8;
constexpr double kInitialFactor = 1.7;
constexpr double kInitialWarmUpFactor = 2.0;

/** Number of answers that the initial values count for, and the maximum weight
 * of an average. At the maximum, older answers fade. */
constexpr double kInitialWeight = 8;
constexpr double kMaxWeight = 200;

/** Limits of a ratio, since a few requests of unusual length say little of the
 * endpoint. */
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 8;

/** Keeps shares such as 0.3 in their bin despite rounding. */
constexpr double kRounding = 1e-9;

}  // namespace

SaturationEstimate::SaturationEstimate()
    : mWarmUp{std::log(kInitialWarmUpFactor), kInitialWeight} {
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    const double share = static_cast<double>(bin + 1) / kBins;
    const bool isAbove = share > kInitialThreshold + kRounding;
    mAverages.at(bin) = {isAbove ? std::log(kInitialFactor) : 0,
                         kInitialWeight};
  }
  UpdateLevels();
}

double SaturationEstimate::Factor(double aLoad, double aSlots) const {
  const double whole = std::floor(aLoad);
  const double next = mLevels[BinOf((whole + 1) / aSlots)];
  const double afterNext = mLevels[BinOf((whole + 2) / aSlots)];
  const double level = next + (afterNext - next) * (aLoad - whole);
  return level / mLevels[BinOf(1 / aSlots)];
}

double SaturationEstimate::WarmUpFactor() const {
  return std::max(1.0, std::exp(mWarmUp.mMean));
}

void SaturationEstimate::NoteAnswered(double aShare, double aRatio,
                                      bool aIsWarmingUp) {
  Note(aShare, aRatio, aIsWarmingUp, true);
}

void SaturationEstimate::NoteUnanswered(double aShare, double aRatio,
                                        bool aIsWarmingUp) {
  Note(aShare, aRatio, aIsWarmingUp, false);
}

void SaturationEstimate::Note(double aShare, double aRatio, bool aIsWarmingUp,
                              bool aIsAnswered) {
  const std::size_t bin = BinOf(aShare);
  const double level = std::log(mLevels.at(bin));
  const double value = std::log(std::clamp(aRatio, kMinRatio, kMaxRatio)) -
                       (aIsWarmingUp ? level : 0);
  Average& average = aIsWarmingUp ? mWarmUp : mAverages.at(bin);
  // The request would have taken longer, so a short time says nothing.
  if (!aIsAnswered && value <= average.mMean) {
    return;
  }
  average.Note(value);
  if (!aIsWarmingUp) {
    UpdateLevels();
  }
}

void SaturationEstimate::Average::Note(double aValue) {
  mWeight = std::min(kMaxWeight, mWeight + 1);
  mMean += (aValue - mMean) / mWeight;
}

std::size_t SaturationEstimate::BinOf(double aShare) {
  const double bin = std::ceil(std::min(aShare, 1.0) * kBins - kRounding);
  return static_cast<std::size_t>(std::max(1.0, bin)) - 1;
}

void SaturationEstimate::UpdateLevels() {
  // Neighbours that fall are replaced by their common average until none falls.
  struct Block {
    Average mAverage;
    std::size_t mBins = 1;
  };
  std::array<Block, kBins> blocks;
  std::size_t count = 0;
  for (const Average& average : mAverages) {
    blocks.at(count++) = Block{average, 1};
    while (count > 1 && blocks.at(count - 2).mAverage.mMean >
                            blocks.at(count - 1).mAverage.mMean) {
      Block& left = blocks.at(count - 2);
      const Block& right = blocks.at(count - 1);
      const double weight = left.mAverage.mWeight + right.mAverage.mWeight;
      left.mAverage.mMean += (right.mAverage.mMean - left.mAverage.mMean) *
                             right.mAverage.mWeight / weight;
      left.mAverage.mWeight = weight;
      left.mBins += right.mBins;
      --count;
    }
  }
  std::size_t bin = 0;
  for (std::size_t block = 0; block < count; ++block) {
    const double level = std::exp(blocks.at(block).mAverage.mMean);
    for (std::size_t end = bin + blocks.at(block).mBins; bin < end; ++bin) {
      mLevels.at(bin) = level;
    }
  }
}

}  // namespace papayawheel
