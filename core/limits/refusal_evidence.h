#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/base/clock.h"

namespace papayawheel {

/** Time for which a refused connection proves that no process serves the host's
 * address, counted from the connection attempt. A starting process waits longer
 * than this before it uses its shares, since other hosts may still use them. */
constexpr std::chrono::seconds kRefusalLease{3};

/** Records which hosts refused a connection. A refusal comes from the kernel of
 * a running machine whose process has ended. A suspended process or a network
 * partition causes no refusal, so a refusal proves that the process is dead,
 * while a missing answer does not. */
class RefusalEvidence {
 public:
  /** A connection attempted at aTriedAt was refused. */
  void Refused(const std::string& aHost, TimePoint aTriedAt);

  /** The host answered, so a process runs there again. */
  void Answered(const std::string& aHost) { mRefusals.erase(aHost); }

  /** Whether the host's process is currently proved dead. */
  [[nodiscard]] bool IsDead(const std::string& aHost, TimePoint aNow) const;

  /** Returns the time since which the host's process has been proved dead
   * without a gap; empty if it is not currently proved dead. */
  [[nodiscard]] std::optional<TimePoint> DeadSince(const std::string& aHost,
                                                   TimePoint aNow) const;

 private:
  struct Refusal {
    /** First attempt of the unbroken series of refusals. */
    TimePoint mFirst;
    TimePoint mLast;
  };

  std::map<std::string, Refusal> mRefusals;
};

}  // namespace papayawheel
