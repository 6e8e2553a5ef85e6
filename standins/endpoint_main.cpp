// Stands in for an endpoint with a fixed number of slots, service times and
// load reports. Tests can make it misbehave.
#include <fmt/format.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "drivers/http_server.h"
#include "drivers/program_settings.h"
#include "servers/header_names.h"
#include "servers/query.h"
#include "standins/stand_in_server.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/** Faults, which PUT /standin/fault sets at run time. */
struct Faults {
  bool mDraining = false;
  /** Factor on the service times. */
  double mSlowdown = 1;
  /** Factor on the reported load. */
  double mReportedLoadFactor = 1;
  /** Age of the load that is reported. */
  std::chrono::milliseconds mReportLag{0};
  /** Every call is answered at once with status 500. */
  bool mFailFast = false;
};

struct EndpointSettings {
  std::size_t mSlots = 4;
  /** How many calls may wait for a slot. */
  std::size_t mQueue = 0;
  std::chrono::microseconds mServiceTime{4000};
  /** For this time after the start, calls take kColdFactor times as long. */
  std::chrono::milliseconds mColdStart{0};
};

constexpr double kColdFactor = 5;

class Endpoint {
 public:
  Endpoint(asio::io_context& aContext, EndpointSettings aSettings)
      : mContext(aContext), mSettings(aSettings) {}

  void Handle(const HttpExchangePtr& aExchange) {
    const std::string path = PathOf(aExchange->Target());
    if (path == "/standin/fault") {
      SetFaults(aExchange);
    } else if (path == "/standin/runs") {
      AnswerRuns(aExchange);
    } else {
      HandleCall(aExchange);
    }
  }

  void ConnectionClosed(std::uint64_t aConnection) {
    std::erase_if(mQueue, [&](const PendingCall& aWaiting) {
      return aWaiting.mExchange->ConnectionId() == aConnection;
    });
  }

 private:
  struct PendingCall {
    HttpExchangePtr mExchange;
    SteadyClock::time_point mArrived;
    SteadyClock::time_point mDeadline;
  };

  void HandleCall(const HttpExchangePtr& aExchange) {
    const std::string target = aExchange->Target();
    if (QueryNumber(target, "crash") == 1) {
      // Ends the process as a crash does, so that all other calls that it runs
      // are lost too.
      _exit(1);
    }
    if (mFaults.mFailFast) {
      Reply(aExchange, 500, "{}", "");
      return;
    }
    const auto now = SteadyClock::now();
    const std::uint64_t timeoutMs = std::strtoull(
        aExchange->Header(header_names::kDeadline).value_or("60000").c_str(),
        nullptr, 10);
    PendingCall waiting{aExchange, now,
                        now + std::chrono::milliseconds(timeoutMs)};
    if (mRunning < mSettings.mSlots) {
      Run(waiting);
    } else if (mQueue.size() < mSettings.mQueue) {
      mQueue.push_back(std::move(waiting));
    } else {
      Reply(aExchange, 503, "{}", "not_run");
    }
  }

  void Run(const PendingCall& aWaiting) {
    ++mRunning;
    const std::string key =
        aWaiting.mExchange->Header(header_names::kKey).value_or("");
    if (!key.empty()) {
      ++mRunCounts[key];
    }
    const std::uint64_t requestedUs =
        QueryNumber(aWaiting.mExchange->Target(), "work_us");
    const auto work = requestedUs > 0 ? std::chrono::microseconds(requestedUs)
                                      : mSettings.mServiceTime;
    const auto slowed = std::chrono::duration_cast<std::chrono::microseconds>(
        work * mFaults.mSlowdown * (IsCold() ? kColdFactor : 1.0));
    auto timer = std::make_shared<asio::steady_timer>(mContext, slowed);
    timer->async_wait(
        [this, timer, aWaiting](asio::error_code) { Finish(aWaiting); });
  }

  [[nodiscard]] bool IsCold() const {
    return SteadyClock::now() - mStarted < mSettings.mColdStart;
  }

  void Finish(const PendingCall& aWaiting) {
    --mRunning;
    while (!mQueue.empty() && mRunning < mSettings.mSlots) {
      const PendingCall next = mQueue.front();
      mQueue.pop_front();
      if (next.mDeadline < SteadyClock::now()) {
        Reply(next.mExchange, 503, "{}", "not_run");
      } else {
        Run(next);
      }
    }
    const HttpExchangePtr& exchange = aWaiting.mExchange;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        SteadyClock::now() - aWaiting.mArrived);
    HttpReply reply;
    reply.mBody = fmt::format("{} {}\n{}", exchange->Method(),
                              exchange->Target(), exchange->Body());
    reply.mContentType = "text/plain";
    reply.mHeaders.emplace_back("standin-elapsed-us",
                                fmt::format("{}", elapsed.count()));
    AddLoad(reply);
    exchange->Reply(reply);
  }

  void Reply(const HttpExchangePtr& aExchange, int aStatus,
             const std::string& aBody, const std::string& aOutcome) {
    HttpReply reply;
    reply.mStatus = aStatus;
    reply.mBody = aBody;
    if (!aOutcome.empty()) {
      reply.mHeaders.emplace_back(header_names::kOutcome, aOutcome);
    }
    AddLoad(reply);
    aExchange->Reply(reply);
  }

  struct Load {
    SteadyClock::time_point mAt;
    std::size_t mRunning;
    std::size_t mQueued;
  };

  /** Records the current load and returns the load of mReportLag ago, or the
   * oldest one that is recorded. */
  Load LaggingLoad() {
    const auto now = SteadyClock::now();
    mLoads.push_back(Load{now, mRunning, mQueue.size()});
    while (mLoads.size() > 1 && mLoads[1].mAt <= now - mFaults.mReportLag) {
      mLoads.pop_front();
    }
    return mLoads.front();
  }

  void AddLoad(HttpReply& aReply) {
    const Load load = LaggingLoad();
    const auto reported = [this](std::size_t aCount) {
      return static_cast<unsigned>(static_cast<double>(aCount) *
                                   mFaults.mReportedLoadFactor);
    };
    aReply.mHeaders.emplace_back(
        header_names::kLoad,
        fmt::format("running={} queued={} draining={}", reported(load.mRunning),
                    reported(load.mQueued), mFaults.mDraining ? 1 : 0));
  }

  void SetFaults(const HttpExchangePtr& aExchange) {
    const Json body = Json::parse(aExchange->Body(), nullptr, false);
    if (body.is_object()) {
      mFaults.mDraining = body.value("draining", mFaults.mDraining);
      mFaults.mSlowdown = body.value("slowdown", mFaults.mSlowdown);
      mFaults.mReportedLoadFactor =
          body.value("lie", mFaults.mReportedLoadFactor);
      mFaults.mReportLag = std::chrono::milliseconds(
          body.value("report_lag_ms", mFaults.mReportLag.count()));
      mFaults.mFailFast = body.value("fail_fast", mFaults.mFailFast);
    }
    Reply(aExchange, 200, "{}", "");
  }

  void AnswerRuns(const HttpExchangePtr& aExchange) {
    Json doubled = Json::array();
    for (const auto& [key, count] : mRunCounts) {
      if (count > 1) {
        doubled.push_back(key);
      }
    }
    Json keys = Json::array();
    if (QueryNumber(aExchange->Target(), "keys") == 1) {
      for (const auto& [key, count] : mRunCounts) {
        keys.push_back(key);
      }
    }
    Reply(
        aExchange, 200,
        Json{{"runs", mRunCounts.size()}, {"doubled", doubled}, {"keys", keys}}
            .dump(),
        "");
  }

  asio::io_context& mContext;
  EndpointSettings mSettings;
  SteadyClock::time_point mStarted = SteadyClock::now();
  Faults mFaults;
  std::size_t mRunning = 0;
  std::deque<Load> mLoads;
  std::deque<PendingCall> mQueue;
  std::map<std::string, std::uint64_t> mRunCounts;
};

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-standin-endpoint",
                           "stands in for an endpoint");
  settings.Add("address", std::nullopt, "IP number and port to listen on",
               CheckAddress);
  settings.AddNumber("slots", 4, 1, 100'000,
                     "maximum number of calls that run at the same time");
  settings.AddNumber("queue", 0, 0, 100'000,
                     "maximum number of calls that wait; more are refused");
  settings.AddNumber("service-us", 4000, 0, 60'000'000,
                     "time that one call takes, in microseconds");
  settings.AddNumber("cold-start-ms", 0, 0, 600'000,
                     "time after the start in which calls take longer");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  Endpoint endpoint(
      context,
      EndpointSettings{
          static_cast<std::size_t>(settings.Number("slots")),
          static_cast<std::size_t>(settings.Number("queue")),
          std::chrono::microseconds(settings.Number("service-us")),
          std::chrono::milliseconds(settings.Number("cold-start-ms"))});
  return ServeStandIn(
      context, settings.Text("address"),
      [&](const HttpExchangePtr& aExchange) { endpoint.Handle(aExchange); },
      [&](std::uint64_t aConnection) {
        endpoint.ConnectionClosed(aConnection);
      });
}
