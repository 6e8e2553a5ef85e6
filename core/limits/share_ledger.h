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

/** Time after which a host that the operators removed from the list is no
 * longer waited for. Operators stop a process before they remove it. */
constexpr std::chrono::seconds kRemovedHostWait{60};

/** Proof that a call was admitted, to be handed back when the call ends. */
struct Grant {
  std::string mCustomer;
  /** The host whose share admitted the call: this one, or a dead one whose
   * share this host took over. */
  std::string mShareOwner;
};

/** The answer to one request for admission. */
struct Admission {
  std::optional<Grant> mGrant;
  /** Why there is no grant. */
  ErrorKind mRefusal = ErrorKind::OverRate;
  /** When to come back; Duration::max() when this host will never admit. */
  Duration mRetryAfter{0};
};

/** What one ledger tells the others. */
struct LedgerReport {
  /** The revision whose shares the host keeps to in every respect; 0 while
   * calls admitted under others may still run. */
  std::uint64_t mAppliedRevision = 0;
  /** The revision that the host knows every host to obey; 0 if none. */
  std::uint64_t mConvergedRevision = 0;

  bool operator==(const LedgerReport&) const = default;
};

/** Decides which calls this host may admit, so that all hosts together never
 * admit more than a contract, without asking anybody.
 *
 * A contract is split over the published hosts. After a change of the split
 * each host uses the smaller of its old and new shares until every other host
 * has reported that it obeys the new revision. A process that has just started
 * does not know the old shares, so it uses none until it hears that the
 * revision in force is settled. A share whose host is proved dead by refused
 * connections is used by exactly one successor. */
class ShareLedger {
 public:
  ShareLedger(std::string aHost, TimePoint aNow);

  /** A new configuration is in force on this host. */
  void Apply(PreparedConfiguration aPrepared, TimePoint aNow);

  /** Another host answered and reported its state. Reports must arrive in the
   * order in which they were asked for.
   * @param aAskedAt when the report was asked for. */
  void HostReported(const std::string& aHost, const LedgerReport& aReport,
                    TimePoint aAskedAt, TimePoint aNow);

  /** Another host refused a connection that was tried at the given time. */
  void HostRefused(const std::string& aHost, TimePoint aTriedAt,
                   TimePoint aNow);

  /** Drops old revisions and takes over or hands back shares, as the time and
   * the reports allow. */
  void Tick(TimePoint aNow);

  /** Admits one call of a customer or says why not. */
  Admission Admit(const std::string& aCustomer, TimePoint aNow);

  /** An admitted call has ended. */
  void Release(const Grant& aGrant);

  /** An admitted call ended without any endpoint having been tried, so its
   * token is spared as well. */
  void Cancel(const Grant& aGrant, TimePoint aNow);

  /** What to report to the other hosts. */
  [[nodiscard]] LedgerReport Report(TimePoint aNow) const;

  /** Whether every host is known to obey the revision in force here. */
  [[nodiscard]] bool IsConverged() const {
    return mEpochs.size() == 1 && !mNeverConverged;
  }

  /** Hosts that may use parts of a common budget now, under any revision that
   * some host may still obey; 0 while this host does not know. */
  [[nodiscard]] std::size_t HostsSharing() const { return mHostsSharing; }

  /** The split of a customer's contract in force; nothing without contract. */
  [[nodiscard]] const ShareSplit* SplitOf(const std::string& aCustomer) const;

  /** What this host may use of a contract by itself now, without what it took
   * over. */
  [[nodiscard]] Share EffectiveShare(const std::string& aCustomer) const;

  [[nodiscard]] const RefusalEvidence& Evidence() const { return mEvidence; }

 private:
  /** One revision that some host may still be obeying. */
  struct Epoch {
    std::shared_ptr<const Configuration> mConfiguration;
    std::map<std::string, ShareSplit> mSplits;
    TimePoint mCurrentSince;
  };

  /** The use that this host makes of one share. */
  struct Account {
    explicit Account(TimePoint aNow) : mBucket(aNow) {}

    TokenBucket mBucket;
    Share mLimit;
    std::uint32_t mInFlight = 0;
    /** No call is admitted before this time. */
    TimePoint mOpensAt;
  };

  using AccountKey = std::pair<std::string, std::string>;

  [[nodiscard]] Share ShareInForce(const std::string& aCustomer,
                                   const std::string& aOwner) const;
  void CountHostsSharing();
  void RefreshOwnAccounts(TimePoint aNow);
  void SetAccount(const std::string& aCustomer, const std::string& aOwner,
                  const Share& aLimit, TimePoint aOpensAt, TimePoint aNow);
  [[nodiscard]] bool HasConverged(TimePoint aNow) const;
  [[nodiscard]] bool IsKnownConverged() const;
  [[nodiscard]] bool HasAppliedCurrent(TimePoint aNow) const;
  [[nodiscard]] bool IsWaitedFor(const std::string& aHost,
                                 TimePoint aNow) const;
  void RefreshTakeovers(TimePoint aNow);
  void TakeOver(const std::string& aDeadHost, TimePoint aNow);
  void EndTakeovers(TimePoint aNow);
  [[nodiscard]] std::optional<TimePoint> SuccessionSince(
      const std::string& aDeadHost, TimePoint aNow) const;
  Admission AdmitFrom(Account& aAccount, const Grant& aGrant, TimePoint aNow);
  [[nodiscard]] const Epoch& Current() const { return mEpochs.back(); }

  /** Until this time other hosts may hold proofs that this host is dead. */
  [[nodiscard]] TimePoint ProofsExpireAt() const;

  std::string mHost;
  TimePoint mStartedAt;
  std::vector<Epoch> mEpochs;
  std::size_t mHostsSharing = 0;
  /** No revision has been settled since the process started. */
  bool mNeverConverged = true;
  std::map<std::string, LedgerReport> mReports;
  RefusalEvidence mEvidence;
  /** Keyed by customer and owner of the share. */
  std::map<AccountKey, Account> mAccounts;
  /** Dead hosts whose shares this host uses. */
  std::map<std::string, TimePoint> mTakeovers;
};

}  // namespace papayawheel
