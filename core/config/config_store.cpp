#include "core/config/config_store.h"

#include <fmt/format.h>

#include <utility>

namespace papayawheel {
namespace {

std::string DescribeContract(const Contract& aContract) {
  return fmt::format("rate_per_second={} burst={} concurrency={} priority={}",
                     aContract.mRatePerSecond, aContract.mBurst,
                     aContract.mConcurrency, aContract.mPriority);
}

std::string ContractSubject(const std::string& aCustomer) {
  return fmt::format("contract of \"{}\"", aCustomer);
}

}  // namespace

ConfigStore::ConfigStore(const Clock& aClock, AuditTrail& aAudit)
    : mClock(aClock),
      mAudit(aAudit),
      mInForce(std::make_shared<Configuration>()) {}

OfferResult ConfigStore::Offer(const Snapshot& aSnapshot,
                               const std::string& aSource) {
  if (aSnapshot.mRevision <= Revision()) {
    return OfferResult::NotNewer;
  }
  if (aSnapshot.mRevision == mRefusedRevision) {
    return OfferResult::Refused;
  }
  ConfigurationParser parser;
  std::optional<Configuration> parsed = parser.Parse(aSnapshot);
  if (!parsed) {
    mRefusedRevision = aSnapshot.mRevision;
    mRefusedReason = parser.LastError();
    mAudit.Record(AuditTopic::Configuration, aSnapshot.mRevision,
                  "configuration",
                  fmt::format("refused from {}: {}", aSource, mRefusedReason));
    return OfferResult::Refused;
  }
  AuditContracts(*parsed, aSource);
  mAudit.Record(
      AuditTopic::Configuration, aSnapshot.mRevision, "configuration",
      fmt::format("taken from {}, was revision {}", aSource, Revision()));
  mInForce = std::make_shared<const Configuration>(*std::move(parsed));
  mSnapshot = aSnapshot;
  mInForceSince = mClock.WallTime();
  return OfferResult::Applied;
}

void ConfigStore::AuditContracts(const Configuration& aNext,
                                 const std::string& aSource) {
  for (const auto& [customer, contract] : aNext.mContracts) {
    const auto before = mInForce->mContracts.find(customer);
    if (before == mInForce->mContracts.end()) {
      mAudit.Record(AuditTopic::Contract, aNext.mRevision,
                    ContractSubject(customer),
                    fmt::format("added from {}: {}", aSource,
                                DescribeContract(contract)));
    } else if (before->second != contract) {
      mAudit.Record(AuditTopic::Contract, aNext.mRevision,
                    ContractSubject(customer),
                    fmt::format("changed from {}: {} to {}", aSource,
                                DescribeContract(before->second),
                                DescribeContract(contract)));
    }
  }
  for (const auto& [customer, contract] : mInForce->mContracts) {
    if (!aNext.mContracts.contains(customer)) {
      mAudit.Record(AuditTopic::Contract, aNext.mRevision,
                    ContractSubject(customer),
                    fmt::format("removed from {}", aSource));
    }
  }
}

}  // namespace papayawheel
