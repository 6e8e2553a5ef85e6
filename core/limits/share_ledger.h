#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/base/error_kind.h"
#include "core/config/configuration.h"
#include "core/limits/refusal_evidence.h"
#include "core/limits/share_split.h"
#include "core/limits/token_bucket.h"

namespace papayawheel {

/** Time after which a host that was removed from the configuration is no longer
 * waited for. Operators stop a host's process before they remove the host. */
constexpr std::chrono::seconds kRemovedHostWait{60};

/** Permission for one call. Must be given to Release() or Cancel() when the
 * call ends. */
struct Grant {
  std::string mCustomer;
  /** The host whose share the call uses: this host, or a dead host whose share
   * this host has taken over. */
  std::string mShareOwner;
};

/** Result of ShareLedger::Admit(). */
struct Admission {
  /** Empty if the call is refused. */
  std::optional<Grant> mGrant;
  /** The reason of a refusal. */
  ErrorKind mRefusal = ErrorKind::OverRate;
  /** Time to wait before a retry; Duration::max() if this host cannot admit the
   * call at any time under the current shares. */
  Duration mRetryAfter{0};
};

/** The state of a host's ledger, as reported to the other hosts. */
struct LedgerReport {
  /** The revision that the host has applied: all its running calls fit into the
   * shares of this revision. 0 while calls admitted under other revisions may
   * still exceed them. */
  std::uint64_t mAppliedRevision = 0;
  /** The revision that the host knows every host has applied; 0 if none. */
  std::uint64_t mConvergedRevision = 0;

  bool operator==(const LedgerReport&) const = default;
};

/** Decides which calls this host admits, without asking other hosts, such that
 * all hosts together never admit more than a contract allows.
 *
 * A contract is divided among the published hosts. After a change of the split,
 * each host uses the smaller of its old and its new share until the revision
 * has converged: every other host has reported that it has applied it. A
 * process that has just started does not know the old shares, so it uses none
 * until it learns that the revision in force has converged. The share of a host
 * that is proved dead by refused connections is used by exactly one successor.
 */
class ShareLedger {
 public:
  ShareLedger(std::string aHost, TimePoint aNow);

  /** Puts a new configuration in force on this host. */
  void Apply(PreparedConfiguration aPrepared, TimePoint aNow);

  /** Another host reported its state. Reports must be passed in the order in
   * which they were requested.
   * @param aAskedAt when the report was requested. */
  void HostReported(const std::string& aHost, const LedgerReport& aReport,
                    TimePoint aAskedAt, TimePoint aNow);

  /** Another host refused a connection that was attempted at aTriedAt. */
  void HostRefused(const std::string& aHost, TimePoint aTriedAt,
                   TimePoint aNow);

  /** Drops old revisions once the current one has converged, and starts or ends
   * takeovers of the shares of dead hosts. */
  void Tick(TimePoint aNow);

  /** Admits or refuses one call of a customer. */
  Admission Admit(const std::string& aCustomer, TimePoint aNow);

  /** An admitted call has ended. */
  void Release(const Grant& aGrant);

  /** An admitted call ended without an attempt at any endpoint, so its token is
   * returned as well. */
  void Cancel(const Grant& aGrant, TimePoint aNow);

  /** Returns the report for the other hosts. */
  [[nodiscard]] LedgerReport Report(TimePoint aNow) const;

  /** Whether every host is known to have applied the revision in force here. */
  [[nodiscard]] bool IsConverged() const {
    return mEpochs.size() == 1 && !mNeverConverged;
  }

  /** Returns the number of hosts that share a common budget: all hosts of the
   * revisions that some host may still use; 0 while these are unknown. */
  [[nodiscard]] std::size_t HostsSharing() const { return mHostsSharing; }

  /** Returns the current split of a customer's contract; null if there is no
   * contract. */
  [[nodiscard]] const ShareSplit* SplitOf(const std::string& aCustomer) const;

  /** Returns this host's own current share of a contract, without the shares
   * that it has taken over. */
  [[nodiscard]] Share EffectiveShare(const std::string& aCustomer) const;

  [[nodiscard]] const RefusalEvidence& Evidence() const { return mEvidence; }

 private:
  /** A revision that some host may still use. */
  struct Epoch {
    std::shared_ptr<const Configuration> mConfiguration;
    std::map<std::string, ShareSplit> mSplits;
    /** When the revision came into force on this host. */
    TimePoint mCurrentSince;
  };

  /** This host's use of one share, its own or a taken-over one. */
  struct Account {
    explicit Account(TimePoint aNow) : mBucket(aNow) {}

    TokenBucket mBucket;
    Share mLimit;
    std::uint32_t mInFlight = 0;
    /** No call is admitted on this share before this time. */
    TimePoint mOpensAt;
  };

  /** Customer and owner of the share. */
  using AccountKey = std::pair<std::string, std::string>;

  /** The smallest share of a host under all revisions that may still be used.
   */
  [[nodiscard]] Share ShareInForce(const std::string& aCustomer,
                                   const std::string& aOwner) const;
  void CountHostsSharing();
  void RefreshOwnAccounts(TimePoint aNow);
  void SetAccount(const std::string& aCustomer, const std::string& aOwner,
                  const Share& aLimit, TimePoint aOpensAt, TimePoint aNow);
  /** Whether every host has applied the current revision, from its reports. */
  [[nodiscard]] bool HasConverged(TimePoint aNow) const;
  /** Whether another host has reported that the current revision has converged.
   */
  [[nodiscard]] bool IsKnownConverged() const;
  [[nodiscard]] bool HasAppliedCurrent(TimePoint aNow) const;
  [[nodiscard]] bool IsWaitedFor(const std::string& aHost,
                                 TimePoint aNow) const;
  void RefreshTakeovers(TimePoint aNow);
  void TakeOver(const std::string& aDeadHost, TimePoint aNow);
  void EndTakeovers(TimePoint aNow);
  /** Returns the time since which this host is the successor of a dead host;
   * empty if it is not. */
  [[nodiscard]] std::optional<TimePoint> SuccessionSince(
      const std::string& aDeadHost, TimePoint aNow) const;
  Admission AdmitFrom(Account& aAccount, const Grant& aGrant, TimePoint aNow);
  [[nodiscard]] const Epoch& Current() const { return mEpochs.back(); }

  /** Until this time other hosts may still hold proofs that the process before
   * this one is dead. */
  [[nodiscard]] TimePoint ProofsExpireAt() const;

  std::string mHost;
  TimePoint mStartedAt;
  /** Oldest first; the last one is in force. */
  std::vector<Epoch> mEpochs;
  std::size_t mHostsSharing = 0;
  /** Whether no revision has converged since the start of the process. */
  bool mNeverConverged = true;
  /** The latest report of each other host. */
  std::map<std::string, LedgerReport> mReports;
  RefusalEvidence mEvidence;
  std::map<AccountKey, Account> mAccounts;
  /** Dead hosts whose shares this host uses, with the start of the succession.
   */
  std::map<std::string, TimePoint> mTakeovers;
};

}  // namespace papayawheel
