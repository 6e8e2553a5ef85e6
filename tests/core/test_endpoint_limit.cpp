#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "tests/core/gateway_harness.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{5};
constexpr milliseconds kServiceTime{60};
/** When the endpoint first names its limit, and when the bound begins. */
constexpr seconds kNamedAt{2};
constexpr seconds kSettleTime{3};
/** The bound counts hosts that were told this long before. */
constexpr milliseconds kToldBefore{500};
constexpr seconds kWindow{4};

struct Case {
  std::string mWhat;
  std::size_t mHosts;
  std::size_t mEndpoints;
  double mLimit;
  double mRequestsPerSecond;
};

/** Hosts that share endpoints. The one that gets the most requests then names a
 * limit. */
class LimitFleet {
 public:
  explicit LimitFleet(const Case& aCase) : mCase(aCase) {
    std::vector<CallerHost> hosts;
    for (std::size_t host = 0; host < aCase.mHosts; ++host) {
      mHosts.push_back(std::make_unique<GatewayHarness>(aCase.mEndpoints));
      hosts.push_back(CallerHost{fmt::format("h{}", host), "dc"});
    }
    for (std::size_t host = 0; host < aCase.mHosts; ++host) {
      mHosts[host]->Engine().SetLimitSharers(
          LimitSharers{hosts[host].mAddress, hosts},
          mHosts[host]->Time().Now());
    }
  }

  void Run(Duration aTime) {
    const Duration end = mNow + aTime;
    while (mNow < end) {
      SendRequests();
      for (std::size_t host = 0; host < mHosts.size(); ++host) {
        RunHost(host);
      }
      mNow += kStep;
    }
  }

  /** Largest number of requests that reached the limited endpoint within
   * kWindow from hosts that knew of the limit. */
  [[nodiscard]] std::size_t MostInWindow() const {
    std::size_t most = 0;
    for (auto first = mCounted.begin(); first != mCounted.end(); ++first) {
      const auto end =
          std::lower_bound(first, mCounted.end(), *first + kWindow);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }
  /** Number of requests that reached that endpoint. */
  [[nodiscard]] std::size_t Arrived() const { return mArrived.at(mLimited); }
  void SetLimit(std::optional<double> aLimit) { mLimit = aLimit; }

 private:
  void SendRequests() {
    mDue +=
        mCase.mRequestsPerSecond * std::chrono::duration<double>(kStep).count();
    for (; mDue >= 1; mDue -= 1) {
      mHosts[mRandom() % mHosts.size()]->SendRequest(true);
    }
  }

  void RunHost(std::size_t aHost) {
    GatewayHarness& host = *mHosts[aHost];
    host.AnswerProbes(true);
    const std::vector<AttemptId> running = host.Running();
    std::vector<std::size_t> done;
    for (std::size_t index = 0; index < running.size(); ++index) {
      const auto [started, isNew] =
          mStartedAt.try_emplace({aHost, running[index]}, mNow);
      if (isNew) {
        NoteArrival(aHost, host.Attempts().at(running[index]).mEndpoint);
      }
      if (mNow - started->second >= kServiceTime) {
        done.push_back(index);
      }
    }
    // From the last one on, since an index counts only the running ones.
    for (auto index = done.rbegin(); index != done.rend(); ++index) {
      Answer(aHost, *index, host.Attempts().at(running[*index]).mEndpoint);
    }
    host.Advance(kStep);
  }

  void NoteArrival(std::size_t aHost, const std::string& aEndpoint) {
    const std::size_t arrived = ++mArrived[aEndpoint];
    if (mNow < kNamedAt) {
      mLimited = arrived >= mArrived[mLimited] ? aEndpoint : mLimited;
    }
    if (aEndpoint != mLimited) {
      return;
    }
    const auto told = mToldAt.find(aHost);
    const bool counts = told != mToldAt.end() &&
                        mNow - told->second >= kToldBefore &&
                        mNow >= kNamedAt + kSettleTime;
    if (counts && mLimit) {
      mCounted.push_back(mNow);
    }
  }

  void Answer(std::size_t aHost, std::size_t aIndex,
              const std::string& aEndpoint) {
    EndpointNotice notice;
    notice.mSource = NoticeSource::Request;
    if (aEndpoint == mLimited && mNow >= kNamedAt && mLimit) {
      notice.mLimit = mLimit;
      mToldAt.try_emplace(aHost, mNow);
    }
    mHosts[aHost]->End(aIndex, AttemptResult::Answered, 200, notice);
  }

  Case mCase;
  std::optional<double> mLimit = mCase.mLimit;
  std::vector<std::unique_ptr<GatewayHarness>> mHosts;
  std::mt19937 mRandom{1};
  Duration mNow{0};
  double mDue = 0;
  std::map<std::pair<std::size_t, AttemptId>, Duration> mStartedAt;
  /** Requests that reached each endpoint. */
  std::map<std::string, std::size_t> mArrived;
  std::string mLimited;
  /** When each host was first told of the limit. */
  std::map<std::size_t, Duration> mToldAt;
  std::vector<Duration> mCounted;
};

const std::vector<Case> kCases = {
    {"one host", 1, 6, 1.3, 40},
    {"20 hosts, few requests", 20, 18, 1.3, 90},
    {"20 hosts, each with many requests", 20, 18, 2.5, 600},
    {"a high limit", 20, 6, 30, 600},
    {"a limit of less than one a second", 60, 18, 0.4, 300},
    {"no request at all", 20, 6, 0, 200},
};

// Guards against hosts that each go on sending to an endpoint that has named
// how many requests it accepts from all of them together.
TEST_CASE(
    "limit: all hosts together keep to the limit that an endpoint names") {
  for (const Case& one : kCases) {
    CAPTURE(one.mWhat);
    LimitFleet fleet(one);
    fleet.Run(seconds(20));
    const double allowed =
        1.5 * one.mLimit * std::chrono::duration<double>(kWindow).count() + 5;
    CHECK(static_cast<double>(fleet.MostInWindow()) <= allowed);
  }
}

TEST_CASE("limit: an endpoint is used as before once its limit has ended") {
  LimitFleet fleet({"few hosts", 4, 6, 2, 60});
  fleet.Run(seconds(20));
  const std::size_t limited = fleet.Arrived();
  CHECK(limited > 0);
  fleet.SetLimit(std::nullopt);
  fleet.Run(seconds(20));
  const std::size_t before = fleet.Arrived();
  fleet.Run(seconds(10));
  // A sixth of the requests would be 100; the limit would allow 16.
  CHECK(fleet.Arrived() - before > 30);
}

TEST_CASE("limit: the shares of all hosts stay below the limit") {
  for (const std::size_t count : {1U, 2U, 5U, 20U, 311U}) {
    for (const double limit : {0.0, 0.3, 1.3, 8.0, 500.0}) {
      CAPTURE(count);
      CAPTURE(limit);
      std::vector<CallerHost> all;
      for (std::size_t host = 0; host < count; ++host) {
        all.push_back(CallerHost{fmt::format("h{}", host),
                                 fmt::format("dc{}", host % 3)});
      }
      // Half of the hosts do not know the first third of them.
      const std::vector<CallerHost> some(
          all.begin() + static_cast<std::ptrdiff_t>(count / 3), all.end());
      double agreed = 0;
      double disagreed = 0;
      for (std::size_t host = 0; host < count; ++host) {
        const std::string& self = all[host].mAddress;
        agreed += ShareOfLimit("e", "dc1", limit, self, all);
        disagreed +=
            ShareOfLimit("e", "dc1", limit, self, host % 2 == 0 ? all : some);
      }
      CHECK(agreed <= limit);
      CHECK(disagreed <= 1.5 * limit);
      CHECK(agreed >= 0.5 * limit);
    }
  }
}

TEST_CASE("limit: it holds until the endpoint starts again") {
  struct Case {
    std::string mWhat;
    std::int64_t mIncarnation;
    bool mRemovedBetween;
    bool mUsable;
  };
  const std::vector<Case> cases = {
      {"published again", 1, false, false},
      {"removed and published again", 1, true, false},
      {"started again under its id", 2, false, true},
  };
  for (const Case& one : cases) {
    CAPTURE(one.mWhat);
    EndpointEntry entry;
    entry.mId = "e";
    entry.mService = "service";
    entry.mAddress = "10.0.0.1:80";
    entry.mSlots = 4;
    entry.mIncarnation = 1;
    TimePoint now{seconds(100)};
    EndpointPool pool("dc", 1);
    pool.Configure({{"e", entry}}, "service", now);
    EndpointNotice notice;
    notice.mSource = NoticeSource::Request;
    notice.mLimit = 0.1;
    pool.NoteNotice("e", notice, now);
    CHECK(pool.CountUsable({}, now) == 0);
    if (one.mRemovedBetween) {
      pool.Configure({}, "service", now);
    }
    entry.mIncarnation = one.mIncarnation;
    pool.Configure({{"e", entry}}, "service", now);
    CHECK((pool.CountUsable({}, now) == 1) == one.mUsable);
  }
}

}  // namespace
}  // namespace papayawheel
