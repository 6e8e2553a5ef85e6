// Stands in for callers of published routes: looks up the hosts, caches them
// for the time to live in the answer, sends open-loop load and prints one line
// with the outcome of each request.
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "drivers/http_client.h"
#include "drivers/program_settings.h"
#include "platform/protocol_names.h"
#include "servers/http_status.h"
#include "standins/arrivals.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

/** How much longer than its deadline a caller waits, to tell late answers from
 * missing ones. */
constexpr milliseconds kLateAnswerWait{2000};

/** Pause after a lookup that returned no addresses. */
constexpr milliseconds kLookupRetryDelay{100};

struct SentRequest {
  std::string mId;
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  SteadyClock::time_point mAt;
};

class RouteCaller {
 public:
  RouteCaller(asio::io_context& aContext, const ProgramSettings& aSettings)
      : mContext(aContext),
        mSettings(aSettings),
        mClient(aContext),
        mRefresh(aContext),
        mRandom(static_cast<std::uint32_t>(aSettings.Number("seed"))),
        mArrivals(aContext, mRandom,
                  static_cast<double>(aSettings.Number("rate"))),
        mDirectories(aSettings.List("directories")) {}

  void Start() { QueryHosts(); }

 private:
  void QueryHosts() {
    HttpCall call;
    call.mAddress = mDirectories[mNextDirectory++ % mDirectories.size()];
    call.mTarget = "/resolve?name=shop.example&region=r&zone=" +
                   mSettings.Text("data-centre");
    mClient.Send(call,
                 [this](const HttpResult& aResult) { HandleHosts(aResult); });
  }

  void HandleHosts(const HttpResult& aResult) {
    std::chrono::duration<double> next = kLookupRetryDelay;
    const Json answer = Json::parse(aResult.mBody, nullptr, false);
    if (aResult.mKind == HttpResultKind::Answered &&
        aResult.mStatus == http_status::kOk && answer.is_object() &&
        !answer["addresses"].empty()) {
      mHosts = answer["addresses"].get<std::vector<std::string>>();
      next = std::chrono::duration<double>(answer["ttl-s"].get<double>());
      Begin();
    }
    mRefresh.expires_after(
        std::chrono::duration_cast<SteadyClock::duration>(next));
    mRefresh.async_wait([this](asio::error_code aError) {
      if (!aError && !mDone) {
        QueryHosts();
      }
    });
  }

  void Begin() {
    mArrivals.Begin(
        milliseconds(mSettings.Number("duration-ms")), [this] { SendOne(); },
        [this] {
          mDone = true;
          mRefresh.cancel();
          StopWhenDone();
        });
  }

  void SendOne() {
    std::uniform_int_distribution<std::int64_t> percent(0, 99);
    const bool order = percent(mRandom) < mSettings.Number("order-percent");
    SentRequest sent;
    sent.mId = fmt::format("{}-{}", mSettings.Text("name"), ++mNumber);
    sent.mMethod = order ? "POST" : "GET";
    sent.mTarget = (order ? "/order/" : "/read/") + sent.mId;
    sent.mBody = order ? "body-of-" + sent.mId : "";
    sent.mAt = SteadyClock::now();
    HttpCall call;
    std::uniform_int_distribution<std::size_t> host(0, mHosts.size() - 1);
    call.mAddress = mHosts[host(mRandom)];
    call.mMethod = sent.mMethod;
    call.mTarget = sent.mTarget;
    call.mBody = sent.mBody;
    call.mTimeout =
        milliseconds(mSettings.Number("deadline-ms")) + kLateAnswerWait;
    call.mHeaders = {{"Host", "shop.example"},
                     {std::string(platform::kRequestIdHeader), sent.mId},
                     {std::string(platform::kDeadlineHeader),
                      fmt::format("{}", mSettings.Number("deadline-ms"))}};
    ++mInFlight;
    mClient.Send(call, [this, sent](const HttpResult& aResult) {
      --mInFlight;
      Report(sent, aResult);
      StopWhenDone();
    });
  }

  /** Prints the outcome of a request: status=0 means that there was no answer,
   * right=0 that an answer with status 200 does not match the request. */
  static void Report(const SentRequest& aSent, const HttpResult& aResult) {
    const auto took = std::chrono::duration_cast<milliseconds>(
        SteadyClock::now() - aSent.mAt);
    const bool answered = aResult.mKind == HttpResultKind::Answered;
    const std::string expected =
        fmt::format(" {} {} {}\n", aSent.mMethod, aSent.mTarget, aSent.mBody);
    const bool isWhole = aResult.mBody.ends_with(expected);
    const bool isRight =
        !answered || aResult.mStatus != http_status::kOk || isWhole;
    fmt::print("request={} method={} status={} right={} took_ms={}\n",
               aSent.mId, aSent.mMethod, answered ? aResult.mStatus : 0,
               isRight ? 1 : 0, took.count());
    std::fflush(stdout);
  }

  void StopWhenDone() {
    if (mDone && mInFlight == 0) {
      mContext.stop();
    }
  }

  asio::io_context& mContext;
  const ProgramSettings& mSettings;
  HttpClient mClient;
  asio::steady_timer mRefresh;
  std::mt19937 mRandom;
  Arrivals mArrivals;
  std::vector<std::string> mDirectories;
  std::size_t mNextDirectory = 0;
  std::vector<std::string> mHosts;
  std::uint64_t mNumber = 0;
  std::size_t mInFlight = 0;
  bool mDone = false;
};

}  // namespace

int main(int aCount, char** aArguments) {
  constexpr std::int64_t kMaxRate = 100'000;
  constexpr std::int64_t kMaxMilliseconds = 3'600'000;
  ProgramSettings settings("papayawheel-standin-route-caller",
                           "sends load to published routes");
  settings.Add("directories", std::nullopt,
               "addresses of directories that list the hosts",
               CheckAddressList);
  settings.Add("name", "caller", "prefix of the request ids", CheckName);
  settings.Add("data-centre", "brasov", "data centre of the caller", CheckName);
  settings.AddNumber("rate", 50, 1, kMaxRate, "requests per second");
  settings.AddNumber("duration-ms", 1000, 1, kMaxMilliseconds,
                     "length of the load");
  settings.AddNumber("order-percent", 50, 0, 100,
                     "share of requests that are not idempotent");
  settings.AddNumber("deadline-ms", 1000, 1, kMaxMilliseconds,
                     "time that a caller waits for an answer");
  settings.AddNumber("seed", 1, 1, 1'000'000'000, "seed of the load");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  RouteCaller caller(context, settings);
  caller.Start();
  context.run();
  return kExitOk;
}
