#pragma once

#include <array>
#include <cstddef>

namespace papayawheel {

/** Learns from answers how much slower the endpoints of a service are the more
 * of their slots are in use, and while they warm up. Starts from the factors
 * that are usual for endpoints, so that a few answers change little. */
class SaturationEstimate {
 public:
  SaturationEstimate();

  /** Factor by which a further request takes longer than on an idle endpoint.
   * @param aLoad requests at the endpoint; a fraction is the probability of one
   * more. */
  [[nodiscard]] double Factor(double aLoad, double aSlots) const;

  /** Factor by which requests take longer while an endpoint warms up. */
  [[nodiscard]] double WarmUpFactor() const;

  /** Records the time of a request that was answered.
   * @param aShare share of the slots in use, with the request.
   * @param aRatio time as a multiple of the typical one of the request. */
  void NoteAnswered(double aShare, double aRatio, bool aIsWarmingUp);

  /** Records that a request was given up unanswered after a time. */
  void NoteUnanswered(double aShare, double aRatio, bool aIsWarmingUp);

 private:
  /** Average of the logarithms of ratios. */
  struct Average {
    double mMean = 0;
    double mWeight = 0;

    void Note(double aValue);
  };

  static constexpr std::size_t kBins = 10;

  static std::size_t BinOf(double aShare);
  void Note(double aShare, double aRatio, bool aIsWarmingUp, bool aIsAnswered);
  /** Makes the levels those averages that rise with the share of the slots and
   * are nearest to the recorded ones. */
  void UpdateLevels();

  /** By the share of the slots in use, in equal steps. */
  std::array<Average, kBins> mAverages;
  std::array<double, kBins> mLevels{};
  Average mWarmUp;
};

}  // namespace papayawheel
