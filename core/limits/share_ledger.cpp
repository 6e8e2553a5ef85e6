#include "core/limits/share_ledger.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** Allowance for the difference between the rates of two hosts' clocks. */
constexpr std::chrono::milliseconds kClockMargin{500};

/** Suggested wait for a caller that was refused because the concurrency of the
 * contract is in use. */
constexpr std::chrono::milliseconds kConcurrencyRetryAfter{10};

}  // namespace

ShareLedger::ShareLedger(std::string aHost, TimePoint aNow)
    : mHost(std::move(aHost)), mStartedAt(aNow) {}

void ShareLedger::Apply(PreparedConfiguration aPrepared, TimePoint aNow) {
  Epoch epoch;
  epoch.mConfiguration = std::move(aPrepared.mConfiguration);
  epoch.mSplits = std::move(aPrepared.mSplits);
  epoch.mCurrentSince = aNow;
  mEpochs.push_back(std::move(epoch));
  CountHostsSharing();
  EndTakeovers(aNow);
  RefreshOwnAccounts(aNow);
  Tick(aNow);
}

void ShareLedger::HostReported(const std::string& aHost,
                               const LedgerReport& aReport, TimePoint aAskedAt,
                               TimePoint aNow) {
  mEvidence.Answered(aHost);
  // A host that still holds a proof of the previous process's death may switch
  // to a later revision without waiting for this process, so reports requested
  // before the proofs expire are ignored.
  if (aAskedAt >= ProofsExpireAt()) {
    mReports[aHost] = aReport;
  }
  Tick(aNow);
}

void ShareLedger::HostRefused(const std::string& aHost, TimePoint aTriedAt,
                              TimePoint aNow) {
  mEvidence.Refused(aHost, aTriedAt);
  Tick(aNow);
}

void ShareLedger::Tick(TimePoint aNow) {
  if (mEpochs.empty()) {
    return;
  }
  if (!IsConverged() &&
      (HasConverged(aNow) || (mNeverConverged && IsKnownConverged()))) {
    mEpochs.erase(mEpochs.begin(), mEpochs.end() - 1);
    mNeverConverged = false;
    CountHostsSharing();
    RefreshOwnAccounts(aNow);
  }
  RefreshTakeovers(aNow);
}

Admission ShareLedger::Admit(const std::string& aCustomer, TimePoint aNow) {
  Admission refusal{std::nullopt, ErrorKind::UnknownCustomer, Duration::max()};
  if (mEpochs.empty() ||
      !Current().mConfiguration->mContracts.contains(aCustomer)) {
    return refusal;
  }
  refusal.mRefusal = ErrorKind::OverRate;
  const auto first = mAccounts.lower_bound(AccountKey(aCustomer, ""));
  for (auto it = first; it != mAccounts.end() && it->first.first == aCustomer;
       ++it) {
    const std::string& owner = it->first.second;
    if (owner != mHost && !SuccessionSince(owner, aNow)) {
      continue;
    }
    Admission admission = AdmitFrom(it->second, Grant{aCustomer, owner}, aNow);
    if (admission.mGrant) {
      return admission;
    }
    if (admission.mRetryAfter < refusal.mRetryAfter) {
      refusal = admission;
    }
  }
  return refusal;
}

Admission ShareLedger::AdmitFrom(Account& aAccount, const Grant& aGrant,
                                 TimePoint aNow) {
  Admission refusal;
  if (aAccount.mLimit.mConcurrency == 0) {
    refusal.mRetryAfter = Duration::max();
    return refusal;
  }
  if (aNow < aAccount.mOpensAt) {
    refusal.mRetryAfter =
        std::chrono::duration_cast<Duration>(aAccount.mOpensAt - aNow);
    return refusal;
  }
  if (aAccount.mInFlight >= aAccount.mLimit.mConcurrency) {
    refusal.mRefusal = ErrorKind::OverConcurrency;
    refusal.mRetryAfter = kConcurrencyRetryAfter;
    return refusal;
  }
  if (!aAccount.mBucket.TryTake(aNow)) {
    refusal.mRetryAfter = aAccount.mBucket.UntilNext(aNow);
    return refusal;
  }
  ++aAccount.mInFlight;
  return Admission{aGrant, ErrorKind::OverRate, Duration::zero()};
}

void ShareLedger::Release(const Grant& aGrant) {
  const auto found =
      mAccounts.find(AccountKey(aGrant.mCustomer, aGrant.mShareOwner));
  if (found != mAccounts.end() && found->second.mInFlight > 0) {
    --found->second.mInFlight;
  }
}

void ShareLedger::Cancel(const Grant& aGrant, TimePoint aNow) {
  Release(aGrant);
  const auto found =
      mAccounts.find(AccountKey(aGrant.mCustomer, aGrant.mShareOwner));
  if (found != mAccounts.end()) {
    found->second.mBucket.Refund(aNow);
  }
}

LedgerReport ShareLedger::Report(TimePoint aNow) const {
  LedgerReport report;
  if (mEpochs.empty()) {
    return report;
  }
  const std::uint64_t current = Current().mConfiguration->mRevision;
  report.mAppliedRevision = HasAppliedCurrent(aNow) ? current : 0;
  report.mConvergedRevision = IsConverged() ? current : 0;
  return report;
}

bool ShareLedger::HasAppliedCurrent(TimePoint aNow) const {
  // Calls of an earlier process on this host may still be running.
  if (aNow - mStartedAt < Current().mConfiguration->LongestDeadline()) {
    return false;
  }
  // Running calls admitted under an older revision may exceed the new limit.
  return std::all_of(
      mAccounts.begin(), mAccounts.end(), [](const auto& aEntry) {
        return aEntry.second.mInFlight <= aEntry.second.mLimit.mConcurrency;
      });
}

void ShareLedger::CountHostsSharing() {
  std::set<std::string> hosts;
  for (const Epoch& epoch : mEpochs) {
    for (const auto& [name, host] : epoch.mConfiguration->mHosts) {
      hosts.insert(name);
    }
  }
  mHostsSharing = mNeverConverged ? 0 : hosts.size();
}

const ShareSplit* ShareLedger::SplitOf(const std::string& aCustomer) const {
  if (mEpochs.empty()) {
    return nullptr;
  }
  const auto found = Current().mSplits.find(aCustomer);
  return found == Current().mSplits.end() ? nullptr : &found->second;
}

Share ShareLedger::EffectiveShare(const std::string& aCustomer) const {
  return mEpochs.empty() ? Share{} : ShareInForce(aCustomer, mHost);
}

Share ShareLedger::ShareInForce(const std::string& aCustomer,
                                const std::string& aOwner) const {
  const ShareSplit* const current = SplitOf(aCustomer);
  if (current == nullptr || mNeverConverged) {
    return {};
  }
  Share share = current->ShareOf(aOwner);
  const Contract& contract = Current().mConfiguration->mContracts.at(aCustomer);
  for (std::size_t index = 0; index + 1 < mEpochs.size(); ++index) {
    const Epoch& epoch = mEpochs[index];
    const auto known = epoch.mSplits.find(aCustomer);
    const ShareSplit older =
        known == epoch.mSplits.end()
            ? SplitContract(contract, epoch.mConfiguration->mHosts)
            : known->second;
    // If the share holders are the same, the new share can be used at once: of
    // each limit either every share grows or every share shrinks, and so does
    // the sum.
    if (older.mHolders != current->mHolders) {
      share = ComponentwiseMin(share, older.ShareOf(aOwner));
    }
  }
  return share;
}

void ShareLedger::RefreshOwnAccounts(TimePoint aNow) {
  const Configuration& configuration = *Current().mConfiguration;
  // Calls of an earlier process, or of a successor that used this share, may
  // run until the longest deadline after the successor's last proof has
  // expired.
  const TimePoint opensAt = ProofsExpireAt() + configuration.LongestDeadline();
  std::set<std::string> customers;
  for (const auto& [key, account] : mAccounts) {
    if (key.second == mHost) {
      customers.insert(key.first);
    }
  }
  for (const auto& [customer, contract] : configuration.mContracts) {
    customers.insert(customer);
  }
  for (const std::string& customer : customers) {
    SetAccount(customer, mHost, ShareInForce(customer, mHost), opensAt, aNow);
  }
}

void ShareLedger::SetAccount(const std::string& aCustomer,
                             const std::string& aOwner, const Share& aLimit,
                             TimePoint aOpensAt, TimePoint aNow) {
  const AccountKey key(aCustomer, aOwner);
  auto found = mAccounts.find(key);
  if (found == mAccounts.end()) {
    if (aLimit == Share{}) {
      return;
    }
    found = mAccounts.emplace(key, Account(aNow)).first;
  }
  Account& account = found->second;
  account.mLimit = aLimit;
  account.mOpensAt = aOpensAt;
  account.mBucket.SetLimits(aLimit.mRatePerSecond, aLimit.mBurst, aNow);
  if (aLimit == Share{} && account.mInFlight == 0) {
    mAccounts.erase(found);
  }
}

TimePoint ShareLedger::ProofsExpireAt() const {
  return mStartedAt + kRefusalLease + kClockMargin;
}

bool ShareLedger::HasConverged(TimePoint aNow) const {
  if (!HasAppliedCurrent(aNow)) {
    return false;
  }
  const std::uint64_t current = Current().mConfiguration->mRevision;
  for (const Epoch& epoch : mEpochs) {
    for (const auto& [name, host] : epoch.mConfiguration->mHosts) {
      if (name == mHost || !IsWaitedFor(name, aNow)) {
        continue;
      }
      // A host at a later revision may never have applied this one, so only a
      // report of the same revision counts.
      const auto report = mReports.find(name);
      if (report == mReports.end() ||
          report->second.mAppliedRevision != current) {
        return false;
      }
    }
  }
  return true;
}

bool ShareLedger::IsKnownConverged() const {
  // A host that reports convergence knows that every host has applied the
  // revision and keeps to it until a later one has been applied by all hosts,
  // including this one.
  const std::uint64_t current = Current().mConfiguration->mRevision;
  return std::any_of(mReports.begin(), mReports.end(),
                     [current](const auto& aEntry) {
                       return aEntry.second.mConvergedRevision == current;
                     });
}

bool ShareLedger::IsWaitedFor(const std::string& aHost, TimePoint aNow) const {
  const Duration deadline = Current().mConfiguration->LongestDeadline();
  // Calls of a dead process may still run until their deadline.
  const auto deadSince = mEvidence.DeadSince(aHost, aNow);
  if (deadSince && aNow - *deadSince >= deadline) {
    return false;
  }
  const bool removed = !Current().mConfiguration->mHosts.contains(aHost);
  return !removed || aNow - Current().mCurrentSince <
                         std::max<Duration>(kRemovedHostWait, deadline);
}

void ShareLedger::RefreshTakeovers(TimePoint aNow) {
  for (auto it = mTakeovers.begin(); it != mTakeovers.end();) {
    const std::string deadHost = it->first;
    const auto since = SuccessionSince(deadHost, aNow);
    if (since && *since == it->second) {
      ++it;
      continue;
    }
    it = mTakeovers.erase(it);
    for (const auto& [customer, split] : Current().mSplits) {
      SetAccount(customer, deadHost, Share{}, aNow, aNow);
    }
  }
  for (const auto& [name, host] : Current().mConfiguration->mHosts) {
    if (name != mHost && !mTakeovers.contains(name) &&
        SuccessionSince(name, aNow)) {
      TakeOver(name, aNow);
    }
  }
}

void ShareLedger::TakeOver(const std::string& aDeadHost, TimePoint aNow) {
  const TimePoint since = *SuccessionSince(aDeadHost, aNow);
  mTakeovers[aDeadHost] = since;
  const TimePoint opensAt = since + Current().mConfiguration->LongestDeadline();
  for (const auto& [customer, split] : Current().mSplits) {
    SetAccount(customer, aDeadHost, split.ShareOf(aDeadHost), opensAt, aNow);
  }
}

void ShareLedger::EndTakeovers(TimePoint aNow) {
  mTakeovers.clear();
  std::vector<AccountKey> taken;
  for (const auto& [key, account] : mAccounts) {
    if (key.second != mHost) {
      taken.push_back(key);
    }
  }
  for (const auto& [customer, owner] : taken) {
    SetAccount(customer, owner, Share{}, aNow, aNow);
  }
}

std::optional<TimePoint> ShareLedger::SuccessionSince(
    const std::string& aDeadHost, TimePoint aNow) const {
  std::optional<TimePoint> since = mEvidence.DeadSince(aDeadHost, aNow);
  if (!since || !IsConverged()) {
    return std::nullopt;
  }
  std::vector<std::string> others = LiveHosts(Current().mConfiguration->mHosts);
  std::erase(others, aDeadHost);
  for (const std::string& candidate : RankByRendezvous(aDeadHost, others)) {
    if (candidate == mHost) {
      return since;
    }
    const auto candidateSince = mEvidence.DeadSince(candidate, aNow);
    if (!candidateSince) {
      return std::nullopt;
    }
    since = std::max(since, candidateSince);
  }
  return std::nullopt;
}

}  // namespace papayawheel
