#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_registry.h"
#include "core/endpoints/evacuation_registry.h"
#include "core/gateway/gateway_call.h"
#include "core/gateway/route_explanation.h"
#include "core/gossip/gossip_engine.h"
#include "core/gossip/member_publication.h"
#include "core/view/view_synchronizer.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/log.h"
#include "platform/store_protocol.h"
#include "servers/control_counts.h"
#include "servers/gateway_settings.h"
#include "servers/gossip_socket.h"

namespace papayawheel {

/** Callbacks by which the control thread passes state to the traffic thread.
 * They run on the control thread. */
struct ControlHooks {
  std::function<void(std::shared_ptr<const RoutingView>)> mViewChanged;
  /** Whether the view of the store is recent enough to act on. */
  std::function<void(bool)> mViewFreshnessChanged;
  /** The records of the other reachable hosts, and the names of all known
   * hosts, reachable or not, with this one. */
  std::function<void(std::vector<MemberRecord>, std::vector<std::string>)>
      mMembersChanged;
  /** Another host sent a crash record. */
  std::function<void(CrashRecord)> mCrashReceived;
  /** Returns the text of the metrics page. */
  std::function<std::string()> mRenderMetrics;
  /** Tells what would become of a request. */
  std::function<RouteExplanation(const GatewayRequest&)> mExplain;
};

/** The control part of a gateway, on a thread of its own. It exchanges gossip
 * with the other hosts, keeps the view of the platform's store up to date, and
 * answers HTTP requests of other hosts and operators. */
class GatewayControl {
 public:
  GatewayControl(const GatewaySettings& aSettings, const Clock& aClock,
                 ControlHooks aHooks);
  GatewayControl(const GatewayControl&) = delete;
  GatewayControl& operator=(const GatewayControl&) = delete;

  /** Opens the sockets. Returns false if an address cannot be used; LastError()
   * then returns the reason. */
  bool Start();
  /** Runs until Stop(). */
  void Run();

  // The following may be called from any thread.
  void Stop();
  /** Announces to the fleet that this host is draining. */
  void Drain();
  /** Sends records of endpoint crashes to the other hosts. */
  void BroadcastCrashRecords(std::vector<CrashRecord> aCrashes);
  /** The traffic thread noticed that the process was suspended. */
  void NoteSuspension();
  /** Sets which services this host has lost or reaches. */
  void SetReach(const ServiceReach& aReach);
  /** Sets the load from callers that this host reports to the others. */
  void SetHostLoad(const HostLoad& aLoad);
  void SetSeeds(std::vector<std::string> aSeeds);

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  void RunIteration();
  /** Drops removed endpoints that were kept as their entries may have expired.
   */
  void DropMissingEndpoints(TimePoint aNow);
  /** Counts and logs an iteration that ran late.
   * @param aGap time since the last iteration. */
  void NoteIterationGap(Duration aGap);
  void ScheduleIteration();
  /** Runs an iteration when the timer expires. */
  void AwaitIteration();
  /** Invalidates the view and resets pending calls and pings.
   * @param aGap time that passed without an iteration. */
  void HandleSuspension(Duration aGap);
  /** Names of the hosts in the order in which they should read the store, as
   * far as they are known here. */
  const std::vector<std::string>& RankedReaders();
  void HandleDatagram(const std::string& aDatagram, TimePoint aArrivedAfter);
  /** @param aArrivedAfter a time before the message arrived. */
  void HandleMessage(const GossipMessage& aMessage, TimePoint aArrivedAfter);
  void Perform(const ViewActions& aActions);
  void CancelCallToStore();
  /** Reads the next page of the whole store.
   * @param aSoFar contents of the pages before.
   * @param aAfterKey last key of those pages; empty for the first page. */
  void ReadPage(StoreDelta aSoFar, const std::string& aAfterKey);
  void HandlePage(StoreDelta aSoFar, const HttpResult& aResult);
  void Watch(const WatchStore& aWatch);
  void WatchEnded(const HttpResult& aResult);
  void StoreCallFailed(const HttpResult& aResult, StoreFailure aFailure);
  void Pull(const PullView& aPull);
  /** Applies changes of the store and passes them to the traffic thread and the
   * fleet.
   * @param aSource "read", "watch", "expired_removals" or the address of the
   * host that sent the changes. */
  void ApplyChanges(const std::vector<StoreChange>& aChanges,
                    const std::string& aSource);
  /** Logs that the store was restored from a copy. */
  void NoteEra();
  /** Logs since when the store has been available, by which removals are
   * judged, if that has changed. */
  void NoteAvailability();
  /** Logs by whom and as of when the view was confirmed, once for each answer
   * of the store that showed it. */
  void NoteConfirmation();
  void ApplyConfiguration(const StoreChange& aChange);
  /** @param aIsRestored the change came with a store that was restored from a
   * copy. */
  void ApplyEvacuation(const std::string& aDataCentre,
                       const StoreChange& aChange, bool aIsRestored);
  void EndLostEvacuations(TimePoint aNow);
  /** @param aLevel level at which a published entry is logged. */
  void ApplyEndpoint(const std::string& aId, const StoreChange& aChange,
                     LogLevel aLevel);
  void PublishView();
  void PublishMembers();
  void PublishViewFreshness();
  void Serve(const HttpExchangePtr& aExchange);
  [[nodiscard]] std::string RenderStatus();
  /** Answers a question where a request would be sent. */
  [[nodiscard]] HttpReply ExplainRoute(const HttpExchangePtr& aExchange) const;

  GatewaySettings mSettings;
  const Clock& mClock;
  ControlHooks mHooks;
  asio::io_context mContext{1};
  asio::steady_timer mTimer{mContext};
  ControlCounts mCounts;
  GossipSocket mSocket;
  HttpClient mClient{mContext};
  std::unique_ptr<HttpServer> mServer;
  GossipEngine mGossip;
  ViewSynchronizer mSynchronizer;
  EndpointRegistry mRegistry;
  EvacuationRegistry mEvacuations;
  std::shared_ptr<const RouteTable> mRoutes;
  MemberPublication mMemberPublication;
  std::vector<std::string> mRankedReaders;
  /** Generation of the member list and version of this host's own record from
   * which mRankedReaders was computed. */
  std::optional<std::pair<std::uint64_t, std::uint32_t>> mReadersRankedFor;
  bool mWasViewFresh = false;
  /** Whether a view has been passed to the traffic thread. */
  bool mHasPublishedView = false;
  bool mWasStoreFailing = false;
  std::uint64_t mLoggedEra = 0;
  std::optional<TimePoint> mLoggedAvailableFrom;
  std::uint64_t mLoggedConfirmation = 0;
  /** The read or watch of the store under way; 0 if there is none. */
  HttpClient::Id mStoreCall = 0;
  TimePoint mLastIteration;
  std::string mLastError;
};

}  // namespace papayawheel
