// Stands in for the service of the platform: stores values with revisions,
// which can be read and watched, and has faults that tests switch on.
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <list>
#include <nlohmann/json.hpp>

#include "core/config/snapshot.h"
#include "drivers/http_server.h"
#include "drivers/program_settings.h"
#include "servers/query.h"
#include "standins/stand_in_server.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;

constexpr std::string_view kValues = "/v1/values/";

/** Fault of the platform that is switched on. */
enum class Fault {
  None,
  /** Every read fails with status 503. */
  Down,
  /** Readers get the values from when the fault was switched on. */
  Stale,
  /** Readers get each change lag_ms after it was published. */
  Lag,
  /** Readers get no values, as if none had ever been published. */
  Lost,
};

class Platform {
 public:
  explicit Platform(asio::io_context& aContext) : mContext(aContext) {}

  void Handle(const HttpExchangePtr& aExchange) {
    const std::string target = aExchange->Target();
    const std::string path = PathOf(target);
    const std::string method = aExchange->Method();
    if (method == "GET" && path == "/v1/values") {
      Read(aExchange, target);
    } else if (method == "PUT" && path.starts_with(kValues)) {
      Publish(path.substr(kValues.size()), aExchange);
    } else if (method == "DELETE" && path.starts_with(kValues)) {
      Remove(path.substr(kValues.size()), aExchange);
    } else if (method == "GET" && path == "/v1/calls") {
      Answer(aExchange, Json{{"calls", mCalls}}.dump());
    } else if (method == "PUT" && path == "/v1/fault") {
      SetFault(aExchange);
    } else {
      Answer(aExchange, "{}", 404);
    }
  }

 private:
  struct Watch {
    HttpExchangePtr mExchange;
    std::uint64_t mBase;
    std::uint64_t mNewerThan;
    std::unique_ptr<asio::steady_timer> mTimer;
  };

  static void Answer(const HttpExchangePtr& aExchange, std::string aBody,
                     int aStatus = 200) {
    HttpReply reply;
    reply.mStatus = aStatus;
    reply.mBody = std::move(aBody);
    aExchange->Reply(reply);
  }

  /** The values that readers get. */
  [[nodiscard]] const Snapshot& Visible() const {
    return mFault == Fault::None ? mCurrent : mFaultSnapshot;
  }

  void Read(const HttpExchangePtr& aExchange, const std::string& aTarget) {
    ++mCalls;
    if (mFault == Fault::Down) {
      Answer(aExchange, "{}", 503);
      return;
    }
    const std::uint64_t base = QueryNumber(aTarget, "base");
    const std::uint64_t newerThan = QueryNumber(aTarget, "newer_than");
    const std::uint64_t wait = QueryNumber(aTarget, "wait_ms");
    if (wait == 0 || Visible().mRevision > newerThan) {
      Answer(aExchange, WriteChanges(Visible(), base));
      return;
    }
    mWatches.push_back(Watch{aExchange, base, newerThan,
                             std::make_unique<asio::steady_timer>(mContext)});
    const auto watch = std::prev(mWatches.end());
    watch->mTimer->expires_after(std::chrono::milliseconds(wait));
    watch->mTimer->async_wait([this, watch](asio::error_code aError) {
      if (!aError) {
        Answer(watch->mExchange, WriteChanges(Visible(), watch->mBase));
        mWatches.erase(watch);
      }
    });
  }

  void Publish(const std::string& aKey, const HttpExchangePtr& aExchange) {
    ++mCurrent.mRevision;
    mCurrent.mDocuments[aKey] = Document{mCurrent.mRevision, aExchange->Body()};
    mCurrent.mRemoved.erase(aKey);
    Answer(aExchange, Json{{"revision", mCurrent.mRevision}}.dump());
    ShowAfterLag();
    NotifyWatches();
  }

  void Remove(const std::string& aKey, const HttpExchangePtr& aExchange) {
    if (mCurrent.mDocuments.erase(aKey) == 0) {
      Answer(aExchange, "{}", 404);
      return;
    }
    ++mCurrent.mRevision;
    mCurrent.mRemoved[aKey] = mCurrent.mRevision;
    Answer(aExchange, Json{{"revision", mCurrent.mRevision}}.dump());
    ShowAfterLag();
    NotifyWatches();
  }

  void SetFault(const HttpExchangePtr& aExchange) {
    const Json body = Json::parse(aExchange->Body(), nullptr, false);
    const std::string mode =
        body.is_object() ? body.value("mode", "none") : "none";
    mLag = std::chrono::milliseconds(body.is_object() ? body.value("lag_ms", 0)
                                                      : 0);
    mFaultSnapshot = mode == "lost" ? Snapshot{} : Visible();
    mFault = mode == "down"    ? Fault::Down
             : mode == "stale" ? Fault::Stale
             : mode == "lag"   ? Fault::Lag
             : mode == "lost"  ? Fault::Lost
                               : Fault::None;
    Answer(aExchange, Json{{"mode", mode}}.dump());
    if (mFault == Fault::Down) {
      for (Watch& watch : mWatches) {
        Answer(watch.mExchange, "{}", 503);
      }
      mWatches.clear();
    }
    NotifyWatches();
  }

  /** Makes the current values visible to readers after the lag. */
  void ShowAfterLag() {
    if (mFault != Fault::Lag) {
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(mContext, mLag);
    timer->async_wait([this, timer, snapshot = mCurrent](asio::error_code) {
      if (mFault == Fault::Lag) {
        mFaultSnapshot = snapshot;
        NotifyWatches();
      }
    });
  }

  void NotifyWatches() {
    if (mFault == Fault::Down) {
      return;
    }
    for (auto watch = mWatches.begin(); watch != mWatches.end();) {
      if (Visible().mRevision <= watch->mNewerThan) {
        ++watch;
        continue;
      }
      Answer(watch->mExchange, WriteChanges(Visible(), watch->mBase));
      watch = mWatches.erase(watch);
    }
  }

  asio::io_context& mContext;
  Snapshot mCurrent;
  Snapshot mFaultSnapshot;
  Fault mFault = Fault::None;
  std::chrono::milliseconds mLag{0};
  std::uint64_t mCalls = 0;
  std::list<Watch> mWatches;
};

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-standin-platform",
                           "stands in for the platform's service");
  settings.Add("address", std::nullopt, "IP number and port to listen on",
               CheckAddress);
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  Platform platform(context);
  return ServeStandIn(
      context, settings.Text("address"),
      [&](const HttpExchangePtr& aExchange) { platform.Handle(aExchange); });
}
