#include "servers/gateway_control.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <exception>
#include <random>
#include <utility>

#include "core/base/rendezvous.h"
#include "core/config/address.h"
#include "core/view/reader_ranking.h"
#include "drivers/guarded_run.h"
#include "drivers/log.h"
#include "platform/documents.h"
#include "servers/gossip_codec.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

/** Requests of other hosts and operators have no body in ordinary use. */
constexpr std::size_t kMaxBody = 64U << 10U;

/** An iteration counts as late if it follows the last one after more than
 * kMaxIterationInterval and this. */
constexpr milliseconds kMaxLateness{200};

/** Hosts that are asked at a time whether the view is complete. */
constexpr std::size_t kAskedHosts = 2;

/** The beginning of the store's period is logged again if it has shifted by
 * this or more. Other hosts' ages differ a little by their way here. */
constexpr milliseconds kMinLoggedShift{100};

/** Published entries of one update that are logged one by one at level Info.
 */
constexpr std::size_t kMaxLoggedEntries = 16;

std::uint64_t NewIncarnation(const Clock& aClock) {
  // Unique for each start: a host does not restart within one millisecond.
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                        aClock.WallTime().time_since_epoch())
                                        .count());
}

std::string GossipAddress(const std::string& aAddress, std::uint16_t aPort) {
  return fmt::format("{}:{}", IpOf(aAddress), aPort);
}

MemberRecord DescribeSelf(const GatewaySettings& aSettings,
                          const Clock& aClock) {
  MemberRecord self;
  self.mName = aSettings.mName;
  self.mDataCentre = aSettings.mDataCentre;
  self.mGossipAddress =
      GossipAddress(aSettings.mControlAddress, aSettings.mGossipPort);
  self.mControlAddress = aSettings.mControlAddress;
  self.mFrontAddress = aSettings.mFrontAddress;
  self.mIncarnation = NewIncarnation(aClock);
  self.mCapacity = aSettings.mCapacity;
  return self;
}

std::uint32_t SeedOf(const GatewaySettings& aSettings) {
  return static_cast<std::uint32_t>(StableHash(aSettings.mName)) ^
         std::random_device{}();
}

}  // namespace

std::string IpOf(const std::string& aAddress) {
  return aAddress.substr(0, aAddress.find(':'));
}

GatewayControl::GatewayControl(const GatewaySettings& aSettings,
                               const Clock& aClock, ControlHooks aHooks)
    : mSettings(aSettings),
      mClock(aClock),
      mHooks(std::move(aHooks)),
      mSocket(mContext, aClock, mCounts,
              [this](const std::string& aDatagram, TimePoint aArrivedAfter) {
                HandleDatagram(aDatagram, aArrivedAfter);
              }),
      mGossip(DescribeSelf(aSettings, aClock), SeedOf(aSettings)),
      mSynchronizer(aClock.Now(), SeedOf(aSettings), aSettings.mIsFirstStart,
                    platform::ReadWriteOrder),
      mLastIteration(aClock.Now()) {
  mGossip.SetViewSource([this] { return mSynchronizer.Summary(mClock.Now()); });
}

bool GatewayControl::Start() {
  const Address address = *ParseAddress(mSettings.mControlAddress);
  HttpServerSettings server;
  server.mIp = address.mIp;
  server.mPort = address.mPort;
  server.mMaxBody = kMaxBody;
  server.mMemory = MakeHttpMemory(mSettings.mCallerLimits.mControl);
  server.mMaxConnections = mSettings.mCallerLimits.mControlConnections;
  mServer = std::make_unique<HttpServer>(
      mContext, server,
      [this](const HttpExchangePtr& aExchange) { Serve(aExchange); });
  if (!mServer->Start()) {
    mLastError = mServer->LastError();
    return false;
  }
  if (!mSocket.Open(address.mIp, mSettings.mGossipPort)) {
    mLastError = mSocket.LastError();
    return false;
  }
  SetSeeds(mSettings.mSeeds);
  RunIteration();
  return true;
}

void GatewayControl::Run() { RunGuarded(mContext, "control"); }

void GatewayControl::Stop() { mContext.stop(); }

void GatewayControl::Drain() {
  asio::post(mContext, [this] {
    mGossip.SetState(MemberState::Draining);
    mSocket.Send(mGossip.Announce());
    RunIteration();
  });
}

void GatewayControl::BroadcastCrashRecords(std::vector<CrashRecord> aCrashes) {
  asio::post(mContext, [this, crashes = std::move(aCrashes)] {
    mSocket.Send(mGossip.BroadcastCrashes(crashes, mClock.Now()));
  });
}

void GatewayControl::NoteSuspension() {
  asio::post(mContext, [this] { HandleSuspension(kSuspensionThreshold); });
}

void GatewayControl::SetHostLoad(const HostLoad& aLoad) {
  asio::post(mContext, [this, aLoad] {
    mSocket.Send(mGossip.SetLoad(aLoad, mClock.Now()));
  });
}

void GatewayControl::SetReach(const ServiceReach& aReach) {
  asio::post(mContext,
             [this, aReach] { mSocket.Send(mGossip.SetReach(aReach)); });
}

void GatewayControl::SetSeeds(std::vector<std::string> aSeeds) {
  asio::post(mContext, [this, seeds = std::move(aSeeds)] {
    std::vector<std::string> addresses;
    for (const std::string& seed : seeds) {
      addresses.push_back(GossipAddress(seed, mSettings.mGossipPort));
    }
    mGossip.SetSeeds(addresses);
  });
}

void GatewayControl::RunIteration() {
  const TimePoint now = mClock.Now();
  const auto gap = std::chrono::duration_cast<Duration>(now - mLastIteration);
  mLastIteration = now;
  NoteIterationGap(gap);
  if (gap > kSuspensionThreshold) {
    HandleSuspension(gap);
  }
  mSocket.Read();
  mGossip.SetStoreFailing(mSynchronizer.IsStoreFailing());
  mSocket.Send(mGossip.Tick(now));
  Perform(mSynchronizer.Tick(DutyOf(mGossip.Self(), RankedReaders()), now));
  const auto expired = mSynchronizer.ExpireLostRemovals(now);
  if (!expired.empty()) {
    ApplyChanges(expired, "expired_removals");
  }
  DropMissingEndpoints(now);
  EndLostEvacuations(now);
  PublishViewFreshness();
  PublishMembers();
  ScheduleIteration();
}

void GatewayControl::DropMissingEndpoints(TimePoint aNow) {
  const std::vector<std::string> dropped =
      mRegistry.Tick(mSynchronizer.ExpiriesUntil(aNow), aNow);
  for (const std::string& id : dropped) {
    Log(LogLevel::Info, "endpoint_dropped", {{"endpoint", id}});
  }
  if (!dropped.empty()) {
    PublishView();
  }
}

void GatewayControl::NoteIterationGap(Duration aGap) {
  if (aGap <= kMaxIterationInterval + kMaxLateness) {
    return;
  }
  ++mCounts.mLateIterations;
  Log(LogLevel::Warning, "control_late",
      {{"gap_us", aGap.count()},
       {"datagrams_received", mCounts.mDatagramsReceived},
       {"pulls", mCounts.mPulls},
       {"deltas_served", mCounts.mDeltasServed},
       {"copies_served", mCounts.mCopiesServed},
       {"pulls_refused", mCounts.mPullsRefused}});
}

void GatewayControl::ScheduleIteration() {
  const TimePoint now = mClock.Now();
  TimePoint due = std::min(mGossip.NextDue(), mSynchronizer.NextDue(now));
  for (const auto& other : {mRegistry.NextDue(), mEvacuations.NextDue(),
                            mMemberPublication.NextDue()}) {
    due = std::min(due, other.value_or(due));
  }
  const auto wait = std::clamp<TimePoint::duration>(due - now, milliseconds(1),
                                                    kMaxReadInterval);
  mTimer.expires_after(wait);
  AwaitIteration();
}

void GatewayControl::AwaitIteration() {
  mTimer.async_wait([this](asio::error_code aError) {
    if (aError) {
      return;
    }
    try {
      RunIteration();
    } catch (const std::exception&) {
      // The event loop must continue after an iteration that failed.
      mTimer.expires_after(kMaxIterationInterval);
      AwaitIteration();
      throw;
    }
  });
}

void GatewayControl::HandleSuspension(Duration aGap) {
  const TimePoint now = mClock.Now();
  Log(LogLevel::Warning, "suspended", {{"gap_us", aGap.count()}});
  CancelCallToStore();
  mSynchronizer.Invalidate(now);
  PublishViewFreshness();
  mSocket.Send(mGossip.ResumeAfterSuspension(ReadersOf(RankedReaders()), now));
}

void GatewayControl::CancelCallToStore() {
  if (mStoreCall != 0) {
    mClient.Cancel(mStoreCall);
    mStoreCall = 0;
  }
}

const std::vector<std::string>& GatewayControl::RankedReaders() {
  const std::pair known(mGossip.Generation(), mGossip.Self().mVersion);
  if (mReadersRankedFor != known) {
    mReadersRankedFor = known;
    mRankedReaders = RankReaders(mGossip.Self(), mGossip.Reachable());
  }
  return mRankedReaders;
}

void GatewayControl::HandleDatagram(const std::string& aDatagram,
                                    TimePoint aArrivedAfter) {
  if (const auto message = DecodeGossip(aDatagram)) {
    HandleMessage(*message, aArrivedAfter);
  } else {
    Log(LogLevel::Warning, "datagram_malformed", {{"bytes", aDatagram.size()}});
  }
}

void GatewayControl::HandleMessage(const GossipMessage& aMessage,
                                   TimePoint aArrivedAfter) {
  const TimePoint now = mClock.Now();
  if (now - mLastIteration > kSuspensionThreshold) {
    // The process was suspended. The overdue iteration invalidates the view;
    // if it ran after this message, it would discard the confirmation of the
    // view that the message brings.
    RunIteration();
  }
  mSocket.Send(mGossip.MessageArrived(aMessage, now));
  if (const auto sender = mGossip.Find(aMessage.mSender.mName)) {
    Perform(mSynchronizer.NotePeerSummary(sender->mControlAddress,
                                          aMessage.mView, aArrivedAfter, now));
    NoteConfirmation();
  }
  if (aMessage.mPassViewOn) {
    mSocket.Send(mGossip.PassViewOn());
  }
  for (const CrashRecord& crash : mGossip.TakeReceivedCrashes()) {
    mHooks.mCrashReceived(crash);
  }
  PublishViewFreshness();
  PublishMembers();
}

void GatewayControl::Perform(const ViewActions& aActions) {
  for (const ViewAction& action : aActions) {
    if (std::holds_alternative<ReadStore>(action)) {
      ReadPage(StoreDelta{}, "");
    } else if (const auto* const watch = std::get_if<WatchStore>(&action)) {
      Watch(*watch);
    } else if (const auto* const pull = std::get_if<PullView>(&action)) {
      Pull(*pull);
    } else if (std::holds_alternative<CancelStoreCall>(action)) {
      CancelCallToStore();
    } else {
      mSocket.Send(mGossip.PingSome(kAskedHosts, mClock.Now()));
    }
  }
}

void GatewayControl::ApplyChanges(const std::vector<StoreChange>& aChanges,
                                  const std::string& aSource) {
  if (mWasStoreFailing && !mSynchronizer.IsStoreFailing()) {
    mWasStoreFailing = false;
    Log(LogLevel::Info, "store_regained",
        {{"revision", mSynchronizer.View().Newest()}});
  }
  PublishViewFreshness();
  const bool isRestored = mSynchronizer.View().Era() != mLoggedEra;
  NoteEra();
  NoteAvailability();
  NoteConfirmation();
  // Announced first, so that other hosts fetch the changes while this host
  // decodes them.
  const bool fromStore = aSource == "watch" || aSource == "read";
  if (aChanges.empty()) {
    if (fromStore && mSynchronizer.ShouldBroadcastConfirmation(mClock.Now())) {
      mSocket.Send(mGossip.BroadcastConfirmation());
    }
    return;
  }
  if (fromStore || mGossip.UsesRelays()) {
    mSocket.Send(mGossip.BroadcastView(fromStore));
  }
  // Hundreds of lines at once would delay the change on a small host, and fill
  // the queue of lines. Event view_changed has the number of changes.
  const LogLevel level =
      mHasPublishedView && aChanges.size() <= kMaxLoggedEntries
          ? LogLevel::Info
          : LogLevel::Debug;
  for (const StoreChange& change : aChanges) {
    if (platform::IsConfigurationKey(change.mKey)) {
      ApplyConfiguration(change);
    } else if (const auto id = platform::EndpointIdOf(change.mKey)) {
      ApplyEndpoint(*id, change, level);
    } else if (const auto dataCentre =
                   platform::EvacuatedDataCentreOf(change.mKey)) {
      ApplyEvacuation(*dataCentre, change, isRestored);
    }
  }
  Log(LogLevel::Info, "view_changed",
      {{"era", mSynchronizer.View().Era()},
       {"revision", mSynchronizer.View().Newest()},
       {"as_of", mSynchronizer.View().AsOf()},
       {"changes", aChanges.size()},
       {"source", aSource}});
  PublishView();
  if (mRoutes != nullptr && mGossip.Self().mState == MemberState::Starting) {
    mGossip.SetState(MemberState::Ready);
  }
}

void GatewayControl::NoteEra() {
  const StoreView& view = mSynchronizer.View();
  if (view.Era() == mLoggedEra) {
    return;
  }
  if (mHasPublishedView) {
    Log(LogLevel::Warning, "store_restored",
        {{"era", view.Era()},
         {"before", mLoggedEra},
         {"revision", view.Newest()},
         {"lost_changes_in_force", view.Lost().size()}});
  }
  mLoggedEra = view.Era();
}

void GatewayControl::NoteConfirmation() {
  const auto& confirmation = mSynchronizer.Confirmation();
  const std::uint64_t id = confirmation ? confirmation->mId : 0;
  if (id == mLoggedConfirmation || !confirmation) {
    return;
  }
  mLoggedConfirmation = id;
  const auto age = mClock.Now() - confirmation->mAt;
  Log(LogLevel::Info, "view_confirmed",
      {{"confirmation", id},
       {"source",
        confirmation->mSource.empty() ? "store" : confirmation->mSource},
       {"age_us", std::chrono::duration_cast<Duration>(age).count()},
       {"revision", mSynchronizer.View().Newest()},
       {"as_of", mSynchronizer.View().AsOf()}});
}

void GatewayControl::NoteAvailability() {
  const auto& available = mSynchronizer.Availability().Latest();
  const bool isKnown =
      available && mLoggedAvailableFrom &&
      available->mFrom - *mLoggedAvailableFrom < kMinLoggedShift &&
      *mLoggedAvailableFrom - available->mFrom < kMinLoggedShift;
  if (!available || isKnown) {
    return;
  }
  mLoggedAvailableFrom = available->mFrom;
  const auto age = mClock.Now() - available->mFrom;
  Log(LogLevel::Info, "store_available_since",
      {{"age_us", std::chrono::duration_cast<Duration>(age).count()}});
}

void GatewayControl::ApplyConfiguration(const StoreChange& aChange) {
  const auto decoded =
      platform::DecodeConfiguration(aChange.mValue.value_or(""));
  if (!decoded.mValue) {
    Log(LogLevel::Error, "configuration_unreadable",
        {{"revision", aChange.mRevision}, {"reason", decoded.mReason}});
    return;
  }
  const std::uint64_t before =
      mRoutes == nullptr ? 0 : mRoutes->Source().mVersion;
  mRoutes = std::make_shared<RouteTable>(
      std::make_shared<RoutingConfiguration>(*decoded.mValue));
  Log(LogLevel::Info, "configuration_in_force",
      {{"version", decoded.mValue->mVersion},
       {"before", before},
       {"revision", aChange.mRevision},
       {"routes", decoded.mValue->mRoutes.size()}});
}

void GatewayControl::ApplyEndpoint(const std::string& aId,
                                   const StoreChange& aChange,
                                   LogLevel aLevel) {
  const TimePoint now = mClock.Now();
  if (!aChange.mValue) {
    const TimePoint usableUntil = mSynchronizer.UsableUntil(aChange, now);
    const auto kept = std::max<TimePoint::duration>(
        usableUntil - now, TimePoint::duration::zero());
    Log(LogLevel::Info, "endpoint_removed",
        {{"endpoint", aId},
         {"revision", aChange.mRevision},
         {"may_have_lapsed", usableUntil > now},
         {"kept_us", std::chrono::duration_cast<Duration>(kept).count()},
         {"lost_by_store", aChange.mEra != 0}});
    mRegistry.Remove(aId, usableUntil, now);
    return;
  }
  const auto decoded = platform::DecodeEndpoint(aId, *aChange.mValue);
  if (!decoded.mValue) {
    Log(LogLevel::Warning, "endpoint_unreadable",
        {{"endpoint", aId}, {"reason", decoded.mReason}});
    mRegistry.Remove(aId, now, now);
    return;
  }
  Log(aLevel, "endpoint_published",
      {{"endpoint", aId},
       {"address", decoded.mValue->mAddress},
       {"draining", decoded.mValue->mDraining},
       {"revision", aChange.mRevision}});
  mRegistry.Put(*decoded.mValue);
}

void GatewayControl::ApplyEvacuation(const std::string& aDataCentre,
                                     const StoreChange& aChange,
                                     bool aIsRestored) {
  Log(LogLevel::Info, aChange.mValue ? "evacuation_begins" : "evacuation_ends",
      {{"data_centre", aDataCentre},
       {"revision", aChange.mRevision},
       {"may_be_lost", !aChange.mValue && aIsRestored}});
  if (aChange.mValue) {
    mEvacuations.Begin(aDataCentre);
  } else {
    mEvacuations.End(aDataCentre, aIsRestored, mClock.Now());
  }
}

void GatewayControl::EndLostEvacuations(TimePoint aNow) {
  const std::vector<std::string> ended = mEvacuations.Tick(aNow);
  for (const std::string& dataCentre : ended) {
    Log(LogLevel::Warning, "lost_evacuation_ends",
        {{"data_centre", dataCentre}});
  }
  if (!ended.empty()) {
    PublishView();
  }
}

void GatewayControl::PublishView() {
  mHasPublishedView = true;
  auto view = std::make_shared<RoutingView>();
  view->mRoutes = mRoutes;
  view->mEndpoints = mRegistry.Endpoints();
  view->mEvacuated = mEvacuations.DataCentres();
  view->mRevision = mSynchronizer.View().Newest();
  mHooks.mViewChanged(std::move(view));
}

void GatewayControl::PublishMembers() {
  const MemberGenerations current(mGossip.Generation(),
                                  mGossip.LoadGeneration());
  const std::size_t count = mGossip.MemberCount();
  if (mMemberPublication.IsDue(current, count, mClock.Now())) {
    mHooks.mMembersChanged(mGossip.Reachable(), mGossip.KnownNames());
  }
}

void GatewayControl::PublishViewFreshness() {
  const bool isFresh = mSynchronizer.IsViewFresh(mClock.Now());
  if (isFresh != mWasViewFresh) {
    mWasViewFresh = isFresh;
    Log(LogLevel::Info, "trust_changed", {{"trusted", isFresh}});
    mHooks.mViewFreshnessChanged(isFresh);
  }
}

}  // namespace papayawheel
