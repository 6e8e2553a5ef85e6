#include "core/outcome/not_run_status.h"

#include <algorithm>
#include <array>

namespace papayawheel {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

constexpr std::array kNotRunStatuses = {kRequestTimeout, kMisdirected,
                                        kTooManyRequests, kUnavailable};

}  // namespace

bool PromisesNotRun(int aStatus) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), aStatus) !=
         kNotRunStatuses.end();
}

}  // namespace papayawheel
