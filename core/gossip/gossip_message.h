#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/crash_record.h"
#include "core/gossip/host_load.h"

namespace papayawheel {

/** What a host says of itself. */
enum class MemberState : std::uint8_t {
  /** It knows no configuration yet. */
  Starting,
  /** It serves callers. */
  Ready,
  /** It is about to stop and must get no new callers. */
  Draining,
};

/** One host of the fleet as it describes itself. */
struct MemberRecord {
  std::string mName;
  std::string mDataCentre;
  /** IP number and port for gossip over UDP. */
  std::string mGossipAddress;
  /** IP number and port for requests between hosts. */
  std::string mControlAddress;
  /** IP number and port for callers. */
  std::string mFrontAddress;
  /** Grows from one start of the process to the next. */
  std::uint64_t mIncarnation = 0;
  /** Grows with each change of the record within an incarnation. */
  std::uint32_t mVersion = 0;
  MemberState mState = MemberState::Starting;
  /** Its reads of the platform's store fail. */
  bool mStoreFailing = false;
  HostCapacity mCapacity;
  /** What it last told of its use; not a part of the record, which does not
   * grow a version with it. */
  HostLoad mLoad;

  /** Whether it holds no more than name, incarnation and version. */
  [[nodiscard]] bool IsBrief() const { return mGossipAddress.empty(); }
};

/** What a host knows of the platform's store. */
struct ViewSummary {
  /** The newest revision of a key. */
  std::uint64_t mNewest = 0;
  /** No change up to this revision is missing. */
  std::uint64_t mAsOf = 0;
  /** How long ago this was all that the store held; nothing if unknown. */
  std::optional<Duration> mAge;
};

/** One datagram between two hosts. */
struct GossipMessage {
  enum class Kind : std::uint8_t { Ping, Ack, Notice };

  Kind mKind = Kind::Ping;
  /** The sender of a ping asks which hosts the receiver reaches. */
  bool mWantsMemberList = false;
  /** Without data centre and addresses if the receiver knows them. */
  MemberRecord mSender;
  ViewSummary mView;
  /** What the sender carries now. */
  HostLoad mLoad;
  /** Records of other hosts that may be news. */
  std::vector<MemberRecord> mRecords;
  /** Names of hosts that did not answer the sender. */
  std::vector<std::string> mUnresponsive;
  std::vector<CrashRecord> mCrashes;
  /** Equal on hosts that know the same of requests that crash endpoints;
   * nothing from earlier programs. */
  std::optional<std::uint64_t> mCrashDigest;
};

/** A message and where it goes. */
struct Datagram {
  std::string mAddress;
  GossipMessage mMessage;
};

using Datagrams = std::vector<Datagram>;

}  // namespace papayawheel
