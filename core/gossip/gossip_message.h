#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/gateway/crash_record.h"
#include "core/gossip/host_load.h"
#include "core/gossip/service_reach.h"

namespace papayawheel {

/** State of a host, as it reports it. */
enum class MemberState : std::uint8_t {
  /** It has no configuration yet. */
  Starting,
  /** It serves callers. */
  Ready,
  /** It will stop soon and must get no new callers. */
  Draining,
};

/** A host's description of itself. */
struct MemberRecord {
  std::string mName;
  std::string mDataCentre;
  /** IP number and port for gossip over UDP. */
  std::string mGossipAddress;
  /** IP number and port for requests between hosts. */
  std::string mControlAddress;
  /** IP number and port for callers. */
  std::string mFrontAddress;
  /** Increases with each start of the process. */
  std::uint64_t mIncarnation = 0;
  /** Increases with each change of the record within an incarnation. */
  std::uint32_t mVersion = 0;
  MemberState mState = MemberState::Starting;
  /** Whether its reads of the platform's store fail. */
  bool mStoreFailing = false;
  HostCapacity mCapacity;
  ServiceReach mReach;
  /** The load that it last reported. A change of it does not increase
   * mVersion. */
  HostLoad mLoad;

  /** Whether the record holds only name, incarnation and version. */
  [[nodiscard]] bool IsBrief() const { return mGossipAddress.empty(); }

  bool operator==(const MemberRecord&) const = default;
};

/** How current a host's view of the platform's store is. */
struct ViewSummary {
  /** Newest revision of any key in the view. */
  std::uint64_t mNewest = 0;
  /** The view includes all changes up to this revision. */
  std::uint64_t mAsOf = 0;
  /** Time since the view was known to equal the store; nothing if unknown. */
  std::optional<Duration> mAge;
  /** Identifies the answer of the store by which that was known; 0 if unknown.
   * A host that hears of the same answer again must not take it for a new one,
   * as each hop adds its delay. */
  std::uint64_t mConfirmation = 0;
  /** The era of the store that the revisions belong to; see StoreDelta::mEra.
   */
  std::uint64_t mEra = 0;
  /** Digest of the changes in force that the store has lost; 0 for none. */
  std::uint64_t mLostDigest = 0;

  bool operator==(const ViewSummary&) const = default;
};

/** Content of one datagram between two hosts. */
struct GossipMessage {
  enum class Kind : std::uint8_t { Ping, Ack, Notice };

  Kind mKind = Kind::Ping;
  /** Set in a ping to request the list of members that the receiver can
   * reach. */
  bool mWantsMemberList = false;
  /** Brief (see MemberRecord::IsBrief()) if the receiver has the record. */
  MemberRecord mSender;
  ViewSummary mView;
  /** Set in a notice to request that the receiver sends its own view summary to
   * its data centre. */
  bool mPassViewOn = false;
  /** Current load of the sender. */
  HostLoad mLoad;
  /** Records of other hosts that the receiver may not have yet. */
  std::vector<MemberRecord> mRecords;
  /** Names of hosts that did not answer the sender's pings. */
  std::vector<std::string> mUnresponsive;
  std::vector<CrashRecord> mCrashes;
  /** Digest of the sender's crash records, equal on hosts that share the same
   * ones. Earlier versions of the program send none. */
  std::optional<std::uint64_t> mCrashDigest;

  bool operator==(const GossipMessage&) const = default;
};

/** A message and the gossip address to send it to. */
struct Datagram {
  std::string mAddress;
  GossipMessage mMessage;
};

using Datagrams = std::vector<Datagram>;

}  // namespace papayawheel
