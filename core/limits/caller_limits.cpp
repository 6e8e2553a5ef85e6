#include "core/limits/caller_limits.h"

#include <algorithm>

namespace papayawheel {
namespace {

/** Where the memory is not known, it is taken for that of a small host: 192
 * MiB.
 */
constexpr std::size_t kDefaultShared = 24U << 20U;
/** The bytes held for callers take this part of the memory. */
constexpr std::size_t kSharedDivisor = 8;
/** One large body takes at most five eighths of the memory. */
constexpr std::size_t kReserveParts = 5;
constexpr std::size_t kReserveDivisor = 8;
/** The head of a request is held together with its body. */
constexpr std::size_t kMaxHead = 128U << 10U;

/** Other hosts load copies of the view from the control address. */
constexpr std::size_t kMinControlShared = 8U << 20U;
constexpr std::size_t kControlDivisor = 4;
constexpr std::size_t kControlReserve = 1U << 20U;

/** Descriptors for the process itself and its addresses other than the front.
 */
constexpr std::size_t kOtherDescriptors = 200;
/** The rest is for connections to endpoints. */
constexpr std::size_t kCallerParts = 3;
constexpr std::size_t kCallerDivisor = 4;
constexpr std::size_t kMinFrontConnections = 16;
constexpr std::size_t kReadyConnections = 16;
constexpr std::size_t kDirectoryConnections = 64;
constexpr std::size_t kControlConnections = 64;

}  // namespace

CallerLimits DeriveCallerLimits(const MachineLimits& aMachine) {
  CallerLimits limits;
  const std::size_t memory = aMachine.mMemoryBytes;
  const std::size_t derived =
      memory > 0 ? memory / kSharedDivisor : kDefaultShared;
  limits.mTraffic.mShared =
      aMachine.mCallersBytes > 0 ? aMachine.mCallersBytes : derived;
  limits.mTraffic.mReserve = kMaxCallerBody + kMaxHead;
  if (memory > 0) {
    limits.mTraffic.mReserve = std::min(
        limits.mTraffic.mReserve, memory / kReserveDivisor * kReserveParts);
  }
  limits.mControl.mShared =
      std::max(kMinControlShared, limits.mTraffic.mShared / kControlDivisor);
  limits.mControl.mReserve = kControlReserve;
  if (aMachine.mDescriptors == 0) {
    return limits;
  }
  const std::size_t left = aMachine.mDescriptors > kOtherDescriptors
                               ? aMachine.mDescriptors - kOtherDescriptors
                               : 0;
  limits.mFrontConnections =
      std::max(kMinFrontConnections, left / kCallerDivisor * kCallerParts);
  limits.mReadyConnections = kReadyConnections;
  limits.mDirectoryConnections = kDirectoryConnections;
  limits.mControlConnections = kControlConnections;
  return limits;
}

}  // namespace papayawheel
