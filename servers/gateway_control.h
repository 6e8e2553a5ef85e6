#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/endpoints/endpoint_registry.h"
#include "core/gossip/gossip_engine.h"
#include "core/view/view_synchronizer.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "platform/store_protocol.h"
#include "servers/gateway_settings.h"

namespace papayawheel {

/** What control tells traffic; called on the control thread. */
struct ControlHooks {
  std::function<void(std::shared_ptr<const RoutingView>)> mViewChanged;
  std::function<void(bool)> mViewFreshnessChanged;
  /** The hosts that can be reached and how many are known in all. */
  std::function<void(std::vector<MemberRecord>, std::size_t)> mMembersChanged;
  std::function<void(CrashRecord)> mCrashReceived;
  /** The text of the metrics page. */
  std::function<std::string()> mRenderMetrics;
};

/** The control part of a gateway, on a thread of its own: it finds the other
 * hosts, keeps the copy of the platform's store and answers other hosts. */
class GatewayControl {
 public:
  GatewayControl(const GatewaySettings& aSettings, const Clock& aClock,
                 ControlHooks aHooks);
  GatewayControl(const GatewayControl&) = delete;
  GatewayControl& operator=(const GatewayControl&) = delete;

  /** Opens the sockets. False when an address cannot be used; LastError() says
   * why. */
  bool Start();
  /** Runs until Stop(). */
  void Run();

  // The following may be called from any thread.
  void Stop();
  /** Tells the fleet that this host gets no new callers. */
  void Drain();
  /** Tells the fleet of requests that crashed endpoints. */
  void BroadcastCrashRecords(std::vector<CrashRecord> aCrashes);
  /** Traffic noticed that the process was suspended. */
  void NoteSuspension();
  /** What callers make this host carry. */
  void SetHostLoad(const HostLoad& aLoad);
  void SetSeeds(std::vector<std::string> aSeeds);

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  void RunIteration();
  void ScheduleIteration();
  /** Takes the turn that the timer is set for. */
  void AwaitIteration();
  void HandleSuspension(Duration aGap);
  /** The hosts that should watch the store, as far as is known here. */
  const std::vector<std::string>& Readers();
  void Send(const Datagrams& aDatagrams);
  void ReceiveNext();
  void HandleMessage(const GossipMessage& aMessage);
  void Act(const ViewActions& aActions);
  void ReadPage(StoreDelta aSoFar, const std::string& aAfterKey);
  void HandlePage(StoreDelta aSoFar, const HttpResult& aResult);
  void Watch(const WatchStore& aWatch);
  void WatchEnded(const HttpResult& aResult);
  void StoreCallFailed(const HttpResult& aResult, StoreFailure aFailure);
  void Pull(const PullView& aPull);
  /** Takes changes of the store over and tells traffic and the fleet. */
  void ApplyChanges(const std::vector<StoreChange>& aChanges,
                    const std::string& aSource);
  void ApplyConfiguration(const StoreChange& aChange);
  void ApplyEndpoint(const std::string& aId, const StoreChange& aChange);
  void PublishView();
  void PublishMembers();
  void PublishViewFreshness();
  void Serve(const HttpExchangePtr& aExchange);
  [[nodiscard]] std::string RenderStatus();

  GatewaySettings mSettings;
  const Clock& mClock;
  ControlHooks mHooks;
  asio::io_context mContext{1};
  asio::steady_timer mTimer{mContext};
  asio::ip::udp::socket mSocket{mContext};
  asio::ip::udp::endpoint mRemoteEndpoint;
  std::array<char, 65536> mDatagram{};
  HttpClient mClient{mContext};
  std::unique_ptr<HttpServer> mServer;
  GossipEngine mGossip;
  ViewSynchronizer mSynchronizer;
  EndpointRegistry mRegistry;
  std::shared_ptr<const RouteTable> mRoutes;
  /** Of the hosts and of their use, as traffic knows them. */
  std::uint64_t mPublishedGeneration = 0;
  std::uint64_t mPublishedLoadGeneration = 0;
  std::vector<std::string> mReaders;
  /** What mReaders follow from: the generation of what is known of others, and
   * the version of this host's own record. */
  std::optional<std::pair<std::uint64_t, std::uint32_t>> mReadersChosenFor;
  bool mWasViewFresh = false;
  /** A view was handed to the traffic thread. */
  bool mHasPublishedView = false;
  bool mWasStoreFailing = false;
  HttpClient::Id mStoreCall = 0;
  TimePoint mLastIteration;
  std::string mLastError;
};

}  // namespace papayawheel
