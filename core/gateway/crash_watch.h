#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** A request was lost with the endpoint that ran it. */
struct EndpointCrash {
  /** Identifies requests that are alike: method, host, target and body. */
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
};

/** Recognises requests that crash the endpoints that run them. A request whose
 * connection broke is only suspected: an endpoint may lose an answer and live
 * on. It counts once the endpoint cannot be reached soon afterwards. */
class CrashWatch {
 public:
  /** A request was sent and its connection broke before an answer. */
  void NoteLost(const EndpointCrash& aCrash, TimePoint aNow);

  /** An endpoint refused a connection. */
  void NoteUnreachable(const std::string& aEndpoint, TimePoint aNow);

  /** An endpoint answered. */
  void NoteAlive(const std::string& aEndpoint);

  /** Another host tells of a crash. */
  void NoteCrash(const EndpointCrash& aCrash, TimePoint aNow);

  /** Whether requests like this one must not be sent any more. */
  [[nodiscard]] bool IsStopped(std::uint64_t aFingerprint,
                               TimePoint aNow) const;

  /** Whether a request like this one has crashed an endpoint. */
  [[nodiscard]] bool IsSuspect(std::uint64_t aFingerprint,
                               TimePoint aNow) const;

  /** Crashes seen here since the last call. */
  std::vector<EndpointCrash> TakeNews();

 private:
  struct Lost {
    std::uint64_t mFingerprint = 0;
    TimePoint mAt;
  };
  struct Suspect {
    std::set<std::string> mEndpoints;
    TimePoint mExpires;
  };

  [[nodiscard]] std::size_t Crashes(std::uint64_t aFingerprint,
                                    TimePoint aNow) const;

  /** Requests lost on each endpoint that may yet prove to have crashed. */
  std::map<std::string, std::vector<Lost>> mLost;
  std::map<std::uint64_t, Suspect> mSuspects;
  std::vector<EndpointCrash> mNews;
};

}  // namespace papayawheel
