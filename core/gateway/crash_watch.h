#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"

namespace papayawheel {

/** A request was lost with the endpoint that ran it. */
struct EndpointCrash {
  /** Identifies requests that are alike: method, host, target and body. */
  std::uint64_t mFingerprint = 0;
  std::string mEndpoint;
};

/** A step towards or away from the proof that a request crashed an endpoint;
 * for logs. */
struct CrashNote {
  enum class Kind {
    /** The connection broke while the endpoint had the request. */
    Suspected,
    /** The endpoint turned out to have ended. */
    Confirmed,
    /** The endpoint answered, so it lives. */
    Acquitted,
    /** Neither was seen in time. */
    Unproved,
    /** Another host confirmed it. */
    Told,
  };

  Kind mKind = Kind::Suspected;
  EndpointCrash mCrash;
  /** Crashes by requests like this one that are known after this step. */
  std::size_t mCrashes = 0;
};

/** The word of a step in logs. */
std::string_view CrashNoteName(CrashNote::Kind aKind);

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
  void NoteAlive(const std::string& aEndpoint, TimePoint aNow);

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

  /** Steps since the last call. */
  std::vector<CrashNote> TakeNotes();

 private:
  struct Lost {
    std::uint64_t mFingerprint = 0;
    TimePoint mAt;
  };
  struct Suspect {
    std::set<std::string> mEndpoints;
    TimePoint mExpires;
  };

  void Record(const EndpointCrash& aCrash, TimePoint aNow);
  void AddNote(CrashNote::Kind aKind, const EndpointCrash& aCrash,
               TimePoint aNow);
  [[nodiscard]] std::size_t Crashes(std::uint64_t aFingerprint,
                                    TimePoint aNow) const;

  /** Requests lost on each endpoint that may yet prove to have crashed. */
  std::map<std::string, std::vector<Lost>> mLost;
  std::map<std::uint64_t, Suspect> mSuspects;
  std::vector<EndpointCrash> mNews;
  std::vector<CrashNote> mNotes;
};

}  // namespace papayawheel
