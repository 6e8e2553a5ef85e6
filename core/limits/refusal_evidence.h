#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/base/clock.h"

namespace papayawheel {

/** Time for which one refused connection proves that no process serves a
 * host's address, counted from the moment the connection was tried. A process
 * that starts waits longer than this before it uses its shares. */
constexpr std::chrono::seconds kRefusalLease{3};

/** Remembers which hosts refused a connection. A refusal comes from the
 * kernel of a running machine whose process has ended; a frozen process and a
 * cut network give none, so a refusal proves death where silence does not. */
class RefusalEvidence {
 public:
  /** A connection that was tried at the given time was refused. */
  void Refused(const std::string& aHost, TimePoint aTriedAt);

  /** The host answered, so whatever was proved about it has ended. */
  void Answered(const std::string& aHost) { mRefusals.erase(aHost); }

  /** Whether the host is proved dead now. */
  [[nodiscard]] bool IsDead(const std::string& aHost, TimePoint aNow) const;

  /** Since when the host has been proved dead without a gap; nothing when it
   * is not proved dead now. */
  [[nodiscard]] std::optional<TimePoint> DeadSince(const std::string& aHost,
                                                   TimePoint aNow) const;

 private:
  struct Refusal {
    TimePoint mFirst;
    TimePoint mLast;
  };

  std::map<std::string, Refusal> mRefusals;
};

}  // namespace papayawheel
