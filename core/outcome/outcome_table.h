#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"
#include "core/base/error_kind.h"
#include "core/outcome/request_key.h"
#include "core/outcome/response.h"

namespace papayawheel {

/** Time after its prefix was handed out within which a key may first be used.
 */
constexpr std::chrono::seconds kKeyUseTime{120};

/** Time for which a key is remembered after it can no longer be first used. */
constexpr std::chrono::seconds kKeyRecordTime{180};

/** What became of the request with one key. */
struct KeyRecord {
  bool mRunning = true;
  /** Set when the request ended with an answer. */
  std::shared_ptr<const Response> mResponse;
  /** Set when it ended otherwise. */
  ErrorKind mError = ErrorKind::StillRunning;
};

/** Whether a request with a key may run. */
enum class KeyVerdict {
  /** It is the first use; the request is marked as running. */
  Run,
  /** The key was used before; the record says what became of it. */
  Known,
  /** The key must not run, for the reason given. */
  Refused,
};

struct KeyDecision {
  KeyVerdict mVerdict = KeyVerdict::Refused;
  ErrorKind mError = ErrorKind::KeyExpired;
  KeyRecord mRecord;
};

/** How much an outcome table may hold. */
struct OutcomeTableLimits {
  std::size_t mMaxKeys = 500'000;
  /** Bytes of kept answers. An answer beyond them is not kept; its key still
   * counts as answered. */
  std::size_t mMaxBytes = 16U << 20U;
};

/** Remembers the keys that this process owns, so that each runs at most once.
 * A key is forgotten only when it is too old to be used a first time, so
 * forgetting never lets it run again. */
class OutcomeTable {
 public:
  OutcomeTable(std::string aHost, std::uint64_t aIncarnation,
               TimePoint aStartedAt, OutcomeTableLimits aLimits);

  /** Decides about a request whose key names this process. */
  KeyDecision Begin(const std::string& aKeyText, const RequestKey& aKey,
                    TimePoint aNow);

  /** Looks a key up without using it. */
  [[nodiscard]] KeyDecision Find(const std::string& aKeyText,
                                 const RequestKey& aKey, TimePoint aNow) const;

  /** The request ended with an answer. */
  void FinishAnswered(const std::string& aKeyText,
                      std::shared_ptr<const Response> aResponse);

  /** The request ended without one. A key that was not run stays spent. */
  void FinishFailed(const std::string& aKeyText, ErrorKind aError);

  /** Forgets keys that are too old to matter. */
  void Tick(TimePoint aNow);

  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }

  /** The prefix to hand out now for keys that this process owns. */
  [[nodiscard]] std::string KeyPrefix(TimePoint aNow) const;

  /** Whether the key names this very process. */
  [[nodiscard]] bool Owns(const RequestKey& aKey) const;

 private:
  struct Expiry {
    TimePoint mAt;
    std::string mKeyText;
  };

  [[nodiscard]] bool MayStillBeUsed(const RequestKey& aKey,
                                    TimePoint aNow) const;

  std::string mHost;
  std::uint64_t mIncarnation;
  TimePoint mStartedAt;
  OutcomeTableLimits mLimits;
  std::unordered_map<std::string, KeyRecord> mRecords;
  std::deque<Expiry> mExpiries;
  std::size_t mBytes = 0;
  /** Unused keys handed out at or before this time, since the start of the
   * process, are refused for good. */
  std::chrono::seconds mRefusedUpTo{-1};
};

}  // namespace papayawheel
