#include "core/outcome/outcome_table.h"

#include <algorithm>
#include <utility>

namespace papayawheel {

OutcomeTable::OutcomeTable(std::string aHost, std::uint64_t aIncarnation,
                           TimePoint aStartedAt, OutcomeTableLimits aLimits)
    : mHost(std::move(aHost)),
      mIncarnation(aIncarnation),
      mStartedAt(aStartedAt),
      mLimits(aLimits) {}

KeyDecision OutcomeTable::Begin(const std::string& aKeyText,
                                const RequestKey& aKey, TimePoint aNow) {
  KeyDecision decision = Find(aKeyText, aKey, aNow);
  if (decision.mVerdict != KeyVerdict::Run) {
    return decision;
  }
  if (mRecords.size() >= mLimits.mMaxKeys) {
    decision.mVerdict = KeyVerdict::Refused;
    decision.mError = ErrorKind::TooManyKeys;
    // The caller is told that the request was not run, so a request with this
    // key must not run later either.
    mRefusedUpTo = std::max(mRefusedUpTo, aKey.mIssuedAt);
    return decision;
  }
  mRecords.emplace(aKeyText, KeyRecord{});
  // A key that is not dated ahead can be first used until kKeyUseTime from now
  // at the latest. This expiry does not depend on the key, so the queue stays
  // sorted.
  mExpiries.push_back(Expiry{aNow + kKeyUseTime + kKeyRecordTime, aKeyText});
  return decision;
}

KeyDecision OutcomeTable::Find(const std::string& aKeyText,
                               const RequestKey& aKey, TimePoint aNow) const {
  KeyDecision decision;
  if (!Owns(aKey)) {
    decision.mError = ErrorKind::KeyOwnerGone;
    return decision;
  }
  const auto found = mRecords.find(aKeyText);
  if (found != mRecords.end()) {
    decision.mVerdict = KeyVerdict::Known;
    decision.mRecord = found->second;
    return decision;
  }
  if (!MayStillBeUsed(aKey, aNow)) {
    decision.mError = ErrorKind::KeyExpired;
    return decision;
  }
  decision.mVerdict = KeyVerdict::Run;
  return decision;
}

void OutcomeTable::FinishAnswered(const std::string& aKeyText,
                                  std::shared_ptr<const Response> aResponse) {
  const auto found = mRecords.find(aKeyText);
  if (found == mRecords.end()) {
    return;
  }
  const std::size_t size = aResponse->mBody.size();
  if (mBytes + size > mLimits.mMaxBytes) {
    found->second.mError = ErrorKind::AnswerNotKept;
  } else {
    mBytes += size;
    found->second.mResponse = std::move(aResponse);
  }
  found->second.mRunning = false;
}

void OutcomeTable::FinishFailed(const std::string& aKeyText, ErrorKind aError) {
  const auto found = mRecords.find(aKeyText);
  if (found == mRecords.end()) {
    return;
  }
  found->second.mRunning = false;
  found->second.mError = aError;
}

void OutcomeTable::Tick(TimePoint aNow) {
  while (!mExpiries.empty() && mExpiries.front().mAt <= aNow) {
    const auto found = mRecords.find(mExpiries.front().mKeyText);
    if (found != mRecords.end()) {
      if (found->second.mResponse != nullptr) {
        mBytes -= found->second.mResponse->mBody.size();
      }
      mRecords.erase(found);
    }
    mExpiries.pop_front();
  }
}

std::string OutcomeTable::KeyPrefix(TimePoint aNow) const {
  return WriteKeyPrefix(
      mHost, mIncarnation,
      std::chrono::duration_cast<std::chrono::seconds>(aNow - mStartedAt));
}

bool OutcomeTable::Owns(const RequestKey& aKey) const {
  return aKey.mHost == mHost && aKey.mIncarnation == mIncarnation;
}

bool OutcomeTable::MayStillBeUsed(const RequestKey& aKey,
                                  TimePoint aNow) const {
  // A prefix that another host issued for this process may be dated a little
  // ahead. A date far ahead is refused: the record of a first use would expire
  // while the key could still be used.
  const TimePoint issuedAt = mStartedAt + aKey.mIssuedAt;
  return aKey.mIssuedAt > mRefusedUpTo && aNow < issuedAt + kKeyUseTime &&
         issuedAt <= aNow + kKeyUseTime;
}

}  // namespace papayawheel
