#include "servers/gossip_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "core/base/rendezvous.h"
#include "drivers/json_number.h"

namespace papayawheel {
namespace {

using Json = nlohmann::json;

/** Version of the protocol. Datagrams of other versions are dropped. */
constexpr int kVersion = 1;

/** Number of fields of a brief member record. */
constexpr std::size_t kBriefFieldCount = 3;

/** Index of the field that requests the member list. Earlier versions of the
 * program end their messages before it. */
constexpr std::size_t kWantsMemberListField = 9;
/** Index of the sender's load in a message. */
constexpr std::size_t kLoadField = 10;
/** Index of the digest of the sender's crash records in a message. */
constexpr std::size_t kCrashDigestField = 11;
/** Index of the field that requests to pass the view summary on. */
constexpr std::size_t kPassViewOnField = 12;
/** Index of the store's answer that confirmed the sender's view. */
constexpr std::size_t kConfirmationField = 13;
/** Indices of the era of the sender's view and of the digest of the changes
 * that the store has lost. */
constexpr std::size_t kEraField = 14;
constexpr std::size_t kLostDigestField = 15;
/** Index of the host's capacity in a full member record. */
constexpr std::size_t kCapacityField = 9;

/** Index of the services that the host has lost, and of those that it reaches
 * and others have lost, in a full member record. */
constexpr std::size_t kReachField = 10;
/** Names of services that are taken from one record at most. */
constexpr std::size_t kMaxReachNames = 128;

/** Number of fields of a crash record from earlier versions of the program,
 * which send neither its id nor its times. */
constexpr std::size_t kLegacyCrashFieldCount = 2;
/** Larger times from other hosts are reduced to these. */
constexpr Duration kMaxOriginTime = std::chrono::hours(24 * 365 * 20);
constexpr Duration kMaxElapsed = std::chrono::hours(24);

/** A datagram of at most this length cannot nest so deeply that parsing it
 * exhausts the stack. The depth of longer ones is checked first. */
constexpr std::size_t kMaxUncheckedBytes = 2048;
constexpr std::size_t kMaxDepth = 8;

/** SAX handler that rejects documents that nest deeper than kMaxDepth. */
class DepthCheck : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(std::int64_t /*aValue*/) override { return true; }
  bool number_unsigned(std::uint64_t /*aValue*/) override { return true; }
  bool number_float(double /*aValue*/, const std::string& /*aText*/) override {
    return true;
  }
  bool string(std::string& /*aValue*/) override { return true; }
  bool binary(Json::binary_t& /*aValue*/) override { return true; }
  bool key(std::string& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aSize*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*aSize*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*aPosition*/, const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override {
    return false;
  }

 private:
  bool Enter() { return ++mDepth <= kMaxDepth; }
  bool Leave() {
    --mDepth;
    return true;
  }

  std::size_t mDepth = 0;
};

bool IsSafeToParse(const std::string& aDatagram) {
  if (aDatagram.size() <= kMaxUncheckedBytes) {
    return true;
  }
  DepthCheck check;
  return Json::sax_parse(aDatagram, &check, Json::input_format_t::msgpack);
}

Json RenderRecord(const MemberRecord& aRecord) {
  if (aRecord.IsBrief()) {
    return Json::array({aRecord.mName, aRecord.mIncarnation, aRecord.mVersion});
  }
  return Json::array(
      {aRecord.mName, aRecord.mDataCentre, aRecord.mGossipAddress,
       aRecord.mControlAddress, aRecord.mFrontAddress, aRecord.mIncarnation,
       aRecord.mVersion, static_cast<int>(aRecord.mState),
       aRecord.mStoreFailing,
       Json::array({aRecord.mCapacity.mCores, aRecord.mCapacity.mLinkBytes}),
       Json::array({aRecord.mReach.mLost, aRecord.mReach.mReached})});
}

/** Parses a number from another host. Limits it to the range from 0 to 1e12 and
 * turns NaN into 0, so that a wrong value does not spoil sums over hosts. */
double ParseQuantity(const Json& aNumber) {
  constexpr double kMaxQuantity = 1e12;
  const double number = aNumber.get<double>();
  return number > 0 ? std::min(number, kMaxQuantity) : 0;
}

std::set<std::string> ParseNames(const Json& aNames) {
  std::set<std::string> names;
  for (const Json& name : aNames) {
    if (names.size() < kMaxReachNames) {
      names.insert(name.get<std::string>());
    }
  }
  return names;
}

MemberRecord ParseRecord(const Json& aRecord) {
  MemberRecord record;
  record.mName = aRecord.at(0).get<std::string>();
  if (aRecord.size() == kBriefFieldCount) {
    record.mIncarnation = ParseInteger<std::uint64_t>(aRecord.at(1));
    record.mVersion = ParseInteger<std::uint32_t>(aRecord.at(2));
    return record;
  }
  record.mDataCentre = aRecord.at(1).get<std::string>();
  record.mGossipAddress = aRecord.at(2).get<std::string>();
  record.mControlAddress = aRecord.at(3).get<std::string>();
  record.mFrontAddress = aRecord.at(4).get<std::string>();
  record.mIncarnation = ParseInteger<std::uint64_t>(aRecord.at(5));
  record.mVersion = ParseInteger<std::uint32_t>(aRecord.at(6));
  record.mState = static_cast<MemberState>(ParseInteger<int>(aRecord.at(7)));
  record.mStoreFailing = aRecord.at(8).get<bool>();
  if (aRecord.size() > kCapacityField) {
    const Json& capacity = aRecord.at(kCapacityField);
    record.mCapacity = HostCapacity{ParseQuantity(capacity.at(0)),
                                    ParseQuantity(capacity.at(1))};
  }
  if (aRecord.size() > kReachField) {
    const Json& reach = aRecord.at(kReachField);
    record.mReach =
        ServiceReach{ParseNames(reach.at(0)), ParseNames(reach.at(1))};
  }
  return record;
}

Json RenderCrash(const CrashRecord& aRecord) {
  return Json::array({aRecord.mFingerprint, aRecord.mEndpoint, aRecord.mId,
                      aRecord.mEndedAgo.count(),
                      aRecord.mAttemptDuration.count(), aRecord.mOrigin,
                      aRecord.mOriginTime.count()});
}

/** Parses an age or a duration from another host, in microseconds. */
Duration ParseElapsed(const Json& aElapsed) {
  return std::clamp(Duration(ParseInteger<std::int64_t>(aElapsed)),
                    Duration::zero(), kMaxElapsed);
}

CrashRecord ParseCrash(const Json& aCrash) {
  CrashRecord record;
  record.mFingerprint = ParseInteger<std::uint64_t>(aCrash.at(0));
  record.mEndpoint = aCrash.at(1).get<std::string>();
  if (aCrash.size() == kLegacyCrashFieldCount) {
    record.mId =
        StableHash(fmt::format("{}/{}", record.mFingerprint, record.mEndpoint));
    record.mOrigin = record.mId;
    return record;
  }
  record.mId = ParseInteger<std::uint64_t>(aCrash.at(2));
  record.mEndedAgo = ParseElapsed(aCrash.at(3));
  record.mAttemptDuration = ParseElapsed(aCrash.at(4));
  record.mOrigin = ParseInteger<std::uint64_t>(aCrash.at(5));
  record.mOriginTime =
      std::clamp(Duration(ParseInteger<std::int64_t>(aCrash.at(6))),
                 Duration::zero(), kMaxOriginTime);
  return record;
}

/** An empty age is encoded as null. */
Json RenderAge(const std::optional<Duration>& aAge) {
  return aAge ? Json(aAge->count()) : Json(nullptr);
}

std::optional<Duration> ParseAge(const Json& aAge) {
  if (aAge.is_null()) {
    return std::nullopt;
  }
  return ParseElapsed(aAge);
}

Json RenderChange(const StoreChange& aChange) {
  Json change = Json::array({aChange.mKey, aChange.mRevision});
  change.push_back(aChange.mValue ? Json(*aChange.mValue) : Json(nullptr));
  return change;
}

/** An unknown period is encoded as null. */
Json RenderPeriod(const std::optional<PeriodAges>& aPeriod) {
  return aPeriod
             ? Json::array({aPeriod->mFrom.count(), aPeriod->mUntil.count()})
             : Json(nullptr);
}

std::optional<PeriodAges> ParsePeriod(const Json& aPeriod) {
  if (aPeriod.is_null()) {
    return std::nullopt;
  }
  return PeriodAges{ParseElapsed(aPeriod.at(0)), ParseElapsed(aPeriod.at(1))};
}

StoreChange ParseChange(const Json& aChange) {
  StoreChange change;
  change.mKey = aChange.at(0).get<std::string>();
  change.mRevision = ParseInteger<std::uint64_t>(aChange.at(1));
  if (!aChange.at(2).is_null()) {
    change.mValue = aChange.at(2).get<std::string>();
  }
  return change;
}

Json RenderLost(const StoreChange& aLost) {
  Json change = RenderChange(aLost);
  change.push_back(aLost.mEra);
  change.push_back(aLost.mOrder ? Json::array({aLost.mOrder->mIncarnation,
                                               aLost.mOrder->mNumber})
                                : Json(nullptr));
  return change;
}

StoreChange ParseLost(const Json& aLost) {
  StoreChange change = ParseChange(aLost);
  change.mEra = ParseInteger<std::uint64_t>(aLost.at(3));
  const Json& order = aLost.at(4);
  if (!order.is_null()) {
    change.mOrder = WriteOrder{ParseInteger<std::int64_t>(order.at(0)),
                               ParseInteger<std::int64_t>(order.at(1))};
  }
  return change;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& aMessage) {
  Json records = Json::array();
  for (const MemberRecord& record : aMessage.mRecords) {
    records.push_back(RenderRecord(record));
  }
  Json crashes = Json::array();
  for (const CrashRecord& crash : aMessage.mCrashes) {
    crashes.push_back(RenderCrash(crash));
  }
  const Json message = Json::array(
      {kVersion, static_cast<int>(aMessage.mKind),
       RenderRecord(aMessage.mSender), aMessage.mView.mNewest,
       aMessage.mView.mAsOf, RenderAge(aMessage.mView.mAge), records,
       aMessage.mUnresponsive, crashes, aMessage.mWantsMemberList,
       Json::array({std::llround(aMessage.mLoad.mRequests),
                    std::llround(aMessage.mLoad.mLinkBytes)}),
       aMessage.mCrashDigest.value_or(0), aMessage.mPassViewOn,
       aMessage.mView.mConfirmation, aMessage.mView.mEra,
       aMessage.mView.mLostDigest});
  std::string datagram;
  Json::to_msgpack(message, datagram);
  return datagram;
}

std::optional<GossipMessage> DecodeGossip(const std::string& aDatagram) {
  if (!IsSafeToParse(aDatagram)) {
    return std::nullopt;
  }
  try {
    const Json parsed = Json::from_msgpack(aDatagram);
    if (ParseInteger<int>(parsed.at(0)) != kVersion) {
      return std::nullopt;
    }
    GossipMessage message;
    message.mKind =
        static_cast<GossipMessage::Kind>(ParseInteger<int>(parsed.at(1)));
    message.mSender = ParseRecord(parsed.at(2));
    message.mView.mNewest = ParseInteger<std::uint64_t>(parsed.at(3));
    message.mView.mAsOf = ParseInteger<std::uint64_t>(parsed.at(4));
    message.mView.mAge = ParseAge(parsed.at(5));
    for (const Json& record : parsed.at(6)) {
      message.mRecords.push_back(ParseRecord(record));
    }
    message.mUnresponsive = parsed.at(7).get<std::vector<std::string>>();
    for (const Json& crash : parsed.at(8)) {
      message.mCrashes.push_back(ParseCrash(crash));
    }
    message.mWantsMemberList = parsed.size() > kWantsMemberListField &&
                               parsed.at(kWantsMemberListField).get<bool>();
    if (parsed.size() > kLoadField) {
      const Json& load = parsed.at(kLoadField);
      message.mLoad =
          HostLoad{ParseQuantity(load.at(0)), ParseQuantity(load.at(1))};
    }
    if (parsed.size() > kCrashDigestField) {
      message.mCrashDigest =
          ParseInteger<std::uint64_t>(parsed.at(kCrashDigestField));
    }
    message.mPassViewOn = parsed.size() > kPassViewOnField &&
                          parsed.at(kPassViewOnField).get<bool>();
    if (parsed.size() > kConfirmationField) {
      message.mView.mConfirmation =
          ParseInteger<std::uint64_t>(parsed.at(kConfirmationField));
    }
    if (parsed.size() > kLostDigestField) {
      message.mView.mEra = ParseInteger<std::uint64_t>(parsed.at(kEraField));
      message.mView.mLostDigest =
          ParseInteger<std::uint64_t>(parsed.at(kLostDigestField));
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeView(const ViewTransfer& aTransfer) {
  Json changes = Json::array();
  for (const StoreChange& change : aTransfer.mDelta.mChanges) {
    changes.push_back(RenderChange(change));
  }
  Json gaps = Json::array();
  for (const StoreGap& gap : aTransfer.mDelta.mGaps) {
    gaps.push_back(Json::array({gap.mAfter, gap.mUntil}));
  }
  Json lost = Json::array();
  for (const StoreChange& change : aTransfer.mDelta.mLost) {
    lost.push_back(RenderLost(change));
  }
  const Json document = {{"full", aTransfer.mDelta.mFull},
                         {"era", aTransfer.mDelta.mEra},
                         {"lost", lost},
                         {"as_of", aTransfer.mDelta.mAsOf},
                         {"age_us", RenderAge(aTransfer.mAge)},
                         {"confirmation", aTransfer.mConfirmation},
                         {"available_us", RenderPeriod(aTransfer.mAvailable)},
                         {"changes", changes},
                         {"gaps", gaps}};
  // Values that others wrote to the store may not be valid UTF-8.
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ViewTransfer> DecodeView(const std::string& aText) {
  try {
    const Json document = Json::parse(aText);
    ViewTransfer transfer;
    transfer.mDelta.mFull = document.at("full").get<bool>();
    transfer.mDelta.mAsOf = ParseInteger<std::uint64_t>(document.at("as_of"));
    transfer.mAge = ParseAge(document.at("age_us"));
    // Earlier versions of the program know of no eras.
    if (document.contains("era")) {
      transfer.mDelta.mEra = ParseInteger<std::uint64_t>(document.at("era"));
      for (const Json& change : document.at("lost")) {
        transfer.mDelta.mLost.push_back(ParseLost(change));
      }
    }
    // Earlier versions of the program send neither of these.
    transfer.mConfirmation = document.value("confirmation", std::uint64_t{0});
    if (document.contains("available_us")) {
      transfer.mAvailable = ParsePeriod(document.at("available_us"));
    }
    for (const Json& change : document.at("changes")) {
      transfer.mDelta.mChanges.push_back(ParseChange(change));
    }
    for (const Json& gap : document.at("gaps")) {
      transfer.mDelta.mGaps.push_back(
          StoreGap{ParseInteger<std::uint64_t>(gap.at(0)),
                   ParseInteger<std::uint64_t>(gap.at(1))});
    }
    return transfer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayawheel
