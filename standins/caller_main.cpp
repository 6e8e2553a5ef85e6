// Stands in for callers: looks up the hosts, caches them for as long as the
// answer allows, sends open-loop load and checks each answer against its
// request.
#include <fmt/format.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "drivers/http_client.h"
#include "drivers/program_settings.h"
#include "servers/header_names.h"
#include "standins/arrivals.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/** A host with its share of the requests. */
struct Choice {
  std::string mAddress;
  double mWeight = 0;
  std::string mKeyPrefix;
};

/** Numbers of requests by outcome, and the latencies of those answered. */
struct Tally {
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  /** Answered, but not with what the request asks for. */
  std::uint64_t mWrong = 0;
  /** Failed, and known not to have run. */
  std::uint64_t mNotRun = 0;
  /** Failed, and it is unknown whether they ran. */
  std::uint64_t mUnknown = 0;
  /** Without any answer. */
  std::uint64_t mLost = 0;
  std::map<std::string, std::uint64_t> mErrors;
  std::vector<double> mTotalMs;
  /** Total time less the time that the endpoint reports for the request. */
  std::vector<double> mAddedMs;
};

class Caller {
 public:
  Caller(asio::io_context& aContext, const ProgramSettings& aSettings)
      : mContext(aContext),
        mSettings(aSettings),
        mClient(aContext),
        mRefresh(aContext),
        mRandom(static_cast<std::uint32_t>(aSettings.Number("seed"))),
        mArrivals(aContext, mRandom,
                  static_cast<double>(aSettings.Number("rate"))),
        mEntries(aSettings.List("entries")) {}

  void Start() {
    if (mSettings.Text("direct").empty()) {
      QueryHosts();
    } else {
      mChoices = {Choice{mSettings.Text("direct"), 1, "direct.0.0."}};
      BeginLoad();
    }
  }

  [[nodiscard]] const Tally& Result() const { return mTally; }

 private:
  void QueryHosts() {
    HttpCall call;
    call.mAddress = mEntries[mNextEntry++ % mEntries.size()];
    call.mTarget =
        fmt::format("/papayawheel/v1/hosts?customer={}&data_centre={}",
                    mSettings.Text("customer"), mSettings.Text("data-centre"));
    mClient.Send(call,
                 [this](const HttpResult& aResult) { HandleHosts(aResult); });
  }

  void HandleHosts(const HttpResult& aResult) {
    std::chrono::milliseconds next{100};
    const Json answer = Json::parse(aResult.mBody, nullptr, false);
    if (aResult.mKind == HttpResultKind::Answered && aResult.mStatus == 200 &&
        answer.is_object()) {
      mChoices.clear();
      for (const Json& host : answer["hosts"]) {
        mChoices.push_back(Choice{host["address"].get<std::string>(),
                                  host["weight"].get<double>(),
                                  host["key_prefix"].get<std::string>()});
      }
      next = std::chrono::milliseconds(answer["keep_ms"].get<int>());
      BeginLoad();
    }
    mRefresh.expires_after(next);
    mRefresh.async_wait([this](asio::error_code aError) {
      if (!aError && !mDone) {
        QueryHosts();
      }
    });
  }

  void BeginLoad() {
    mArrivals.Begin(
        std::chrono::milliseconds(mSettings.Number("duration-ms")),
        [this] { SendOne(); },
        [this] {
          mDone = true;
          mRefresh.cancel();
          StopWhenDone();
        });
  }

  void SendOne() {
    const Choice& choice = Pick();
    const bool order = std::uniform_int_distribution<std::int64_t>(
                           0, 99)(mRandom) < mSettings.Number("order-percent");
    const std::uint64_t number = ++mTally.mSent;
    HttpCall call;
    call.mAddress = choice.mAddress;
    call.mMethod = order ? "POST" : "GET";
    call.mTarget = fmt::format(
        "{}{}n={}&run={}", mSettings.Text("target"),
        mSettings.Text("target").find('?') == std::string::npos ? "?" : "&",
        number, mSettings.Number("seed"));
    if (order) {
      call.mBody =
          fmt::format("order {} of {}", number, mSettings.Text("customer"));
      call.mHeaders.emplace_back(header_names::kKey,
                                 fmt::format("{}{}-{}", choice.mKeyPrefix,
                                             mSettings.Number("seed"), number));
    }
    call.mHeaders.emplace_back(header_names::kCustomer,
                               mSettings.Text("customer"));
    call.mHeaders.emplace_back(header_names::kService,
                               mSettings.Text("service"));
    call.mHeaders.emplace_back(
        header_names::kDeadline,
        fmt::format("{}", mSettings.Number("deadline-ms")));
    // 500 ms more than the deadline, so that the error of the load balancer
    // comes before the time-out of the client.
    call.mTimeout =
        std::chrono::milliseconds(mSettings.Number("deadline-ms") + 500);
    const std::string expected =
        fmt::format("{} {}\n{}", call.mMethod, call.mTarget, call.mBody);
    const auto sentAt = SteadyClock::now();
    ++mInFlight;
    mClient.Send(call, [this, expected, sentAt](const HttpResult& aResult) {
      HandleAnswer(aResult, expected, sentAt);
    });
  }

  const Choice& Pick() {
    double point = std::uniform_real_distribution<double>(0, 1)(mRandom);
    for (const Choice& choice : mChoices) {
      point -= choice.mWeight;
      if (point <= 0) {
        return choice;
      }
    }
    return mChoices.back();
  }

  void HandleAnswer(const HttpResult& aResult, const std::string& aExpected,
                    SteadyClock::time_point aSentAt) {
    --mInFlight;
    if (aResult.mKind != HttpResultKind::Answered) {
      ++mTally.mLost;
      ++mTally.mErrors["no_answer"];
      // The host may be down: look up the hosts again before the cached ones
      // expire.
      mRefresh.cancel();
      if (!mDone && mSettings.Text("direct").empty()) {
        QueryHosts();
      }
    } else if (const std::string error = aResult.Header(header_names::kError);
               !error.empty()) {
      ++mTally.mErrors[error];
      const bool notRun = aResult.Header(header_names::kOutcome) == "not_run";
      ++(notRun ? mTally.mNotRun : mTally.mUnknown);
    } else {
      ++mTally.mAnswered;
      if (aResult.mBody != aExpected) {
        ++mTally.mWrong;
      }
      const double total = std::chrono::duration<double, std::milli>(
                               SteadyClock::now() - aSentAt)
                               .count();
      const double elapsed =
          std::strtod(aResult.Header("standin-elapsed-us").c_str(), nullptr) /
          1000;
      mTally.mTotalMs.push_back(total);
      mTally.mAddedMs.push_back(total - elapsed);
    }
    StopWhenDone();
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
  std::vector<std::string> mEntries;
  std::size_t mNextEntry = 0;
  std::vector<Choice> mChoices;
  Tally mTally;
  std::size_t mInFlight = 0;
  bool mDone = false;
};

double Quantile(std::vector<double> aValues, double aShare) {
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
      aShare * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

/** Counts the keys whose requests ran more than once, on one endpoint or on
 * several. */
std::uint64_t CountDoubled(const std::vector<std::string>& aEndpoints) {
  std::map<std::string, int> runs;
  std::uint64_t doubled = 0;
  for (const std::string& address : aEndpoints) {
    asio::io_context context;
    HttpClient client(context);
    HttpCall call;
    call.mAddress = address;
    call.mTarget = "/standin/runs?keys=1";
    client.Send(call, [&](const HttpResult& aResult) {
      const Json answer = Json::parse(aResult.mBody, nullptr, false);
      if (answer.is_object()) {
        doubled += answer["doubled"].size();
        for (const Json& key : answer["keys"]) {
          if (++runs[key.get<std::string>()] == 2) {
            ++doubled;
          }
        }
      }
      context.stop();
    });
    context.run();
  }
  return doubled;
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-standin-caller",
                           "sends load and checks the answers");
  settings.Add("entries", "", "addresses of entries that list the hosts",
               CheckAddressList);
  settings.Add("direct", "",
               "address of an endpoint to call without the load balancer");
  settings.Add("customer", "customer", "name of the customer", CheckName);
  settings.Add("service", "service", "name of the service", CheckName);
  settings.Add("data-centre", "", "data centre of the caller");
  settings.Add("target", "/work", "path of the requests");
  settings.Add("endpoints", "",
               "endpoints to check for requests that ran twice",
               CheckAddressList);
  settings.AddNumber("rate", 100, 1, 1'000'000, "requests per second");
  settings.AddNumber("duration-ms", 1000, 1, 3'600'000, "length of the load");
  settings.AddNumber("order-percent", 20, 0, 100,
                     "share of requests that are not idempotent");
  settings.AddNumber("deadline-ms", 1000, 1, 600'000,
                     "time that a caller waits for an answer");
  settings.AddNumber("seed", 1, 1, 1'000'000'000, "seed of the load");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  Caller caller(context, settings);
  caller.Start();
  context.run();
  const Tally& tally = caller.Result();
  Json errors = Json::object();
  for (const auto& [name, count] : tally.mErrors) {
    errors[name] = count;
  }
  const std::uint64_t doubled = CountDoubled(settings.List("endpoints"));
  fmt::print("{}\n", Json{{"customer", settings.Text("customer")},
                          {"sent", tally.mSent},
                          {"answered", tally.mAnswered},
                          {"wrong", tally.mWrong},
                          {"not_run", tally.mNotRun},
                          {"unknown", tally.mUnknown},
                          {"lost", tally.mLost},
                          {"doubled", doubled},
                          {"errors", errors},
                          {"p50_ms", Quantile(tally.mTotalMs, 0.5)},
                          {"p99_ms", Quantile(tally.mTotalMs, 0.99)},
                          {"added_p50_ms", Quantile(tally.mAddedMs, 0.5)},
                          {"added_p99_ms", Quantile(tally.mAddedMs, 0.99)}}
                         .dump());
  return tally.mWrong == 0 && doubled == 0 ? kExitOk : kExitFailure;
}
