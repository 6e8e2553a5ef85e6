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

/** Time from the issue of its prefix within which a key must be first used. */
constexpr std::chrono::seconds kKeyUseTime{120};

/** Time for which the record of a key is kept after the key can no longer be
 * first used. */
constexpr std::chrono::seconds kKeyRecordTime{180};

/** The state or the outcome of the request with one key. */
struct KeyRecord {
  bool mRunning = true;
  /** The response if the request was answered and the response is kept. */
  std::shared_ptr<const Response> mResponse;
  /** The error if there is no response. */
  ErrorKind mError = ErrorKind::StillRunning;
};

/** Whether a request with a given key may run. */
enum class KeyVerdict {
  /** The key is used for the first time. OutcomeTable::Begin() has recorded the
   * request as running. */
  Run,
  /** The key was used before; KeyDecision::mRecord holds its record. */
  Known,
  /** The request must not run; KeyDecision::mError holds the reason. */
  Refused,
};

/** The decision on one request key. */
struct KeyDecision {
  KeyVerdict mVerdict = KeyVerdict::Refused;
  ErrorKind mError = ErrorKind::KeyExpired;
  KeyRecord mRecord;
};

/** Memory limits of an outcome table. */
struct OutcomeTableLimits {
  std::size_t mMaxKeys = 500'000;
  /** Total size of the kept response bodies, in bytes. A response that would
   * exceed it is not kept; its key still counts as answered. */
  std::size_t mMaxBytes = 16U << 20U;
};

/** Records the outcomes of the request keys that this process owns, so that a
 * request with each key runs at most once. The record of a key expires only
 * when the key is too old for a first use, so its request cannot run again. */
class OutcomeTable {
 public:
  /** @param aHost name of this host.
   * @param aIncarnation number that identifies this process.
   * @param aStartedAt start of this process; issue times count from it. */
  OutcomeTable(std::string aHost, std::uint64_t aIncarnation,
               TimePoint aStartedAt, OutcomeTableLimits aLimits);

  /** Decides whether a request may run and, if so, records it as running. */
  KeyDecision Begin(const std::string& aKeyText, const RequestKey& aKey,
                    TimePoint aNow);

  /** Makes the same decision as Begin(), apart from the limit of keys, without
   * recording anything. */
  [[nodiscard]] KeyDecision Find(const std::string& aKeyText,
                                 const RequestKey& aKey, TimePoint aNow) const;

  /** Records that the request was answered. */
  void FinishAnswered(const std::string& aKeyText,
                      std::shared_ptr<const Response> aResponse);

  /** Records that the request ended without an answer. Its key cannot be used
   * again, even if the request was not run. */
  void FinishFailed(const std::string& aKeyText, ErrorKind aError);

  /** Removes expired records. */
  void Tick(TimePoint aNow);

  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }

  /** Returns a prefix, dated now, for new keys that this process owns. */
  [[nodiscard]] std::string KeyPrefix(TimePoint aNow) const;

  /** Whether the key names this host and this process. */
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
  /** Expiry times of the records, sorted. */
  std::deque<Expiry> mExpiries;
  /** Total size of the kept response bodies, in bytes. */
  std::size_t mBytes = 0;
  /** Unused keys issued at or before this time are refused. Counted from the
   * start of the process. */
  std::chrono::seconds mRefusedUpTo{-1};
};

}  // namespace papayawheel
