// Stands in for the store of the platform, with its protocol: items with
// revisions, which can be read in pages and watched. Tests write items, switch
// faults on, and take and restore copies.
#include <curl/curl.h>
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "drivers/base64.h"
#include "drivers/http_server.h"
#include "drivers/program_settings.h"
#include "servers/http_status.h"
#include "servers/query.h"
#include "standins/stand_in_server.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;

/** Maximum number of items in one answer to a read. */
constexpr std::size_t kPageItems = 20;

class Store {
 public:
  explicit Store(asio::io_context& aContext) : mContext(aContext) {}

  void Handle(const HttpExchangePtr& aExchange) {
    const std::string target = aExchange->Target();
    const std::string path = PathOf(target);
    if (path == "/standin/item") {
      Write(aExchange, target);
    } else if (path == "/standin/fault") {
      SetFault(aExchange);
    } else if (path == "/standin/calls") {
      Answer(aExchange, Json{{"calls", mCalls}});
    } else if (mFault == "hang") {
      mHangingExchanges.push_back(aExchange);
    } else if (mFault == "down") {
      Answer(aExchange, Json::object(), http_status::kUnavailable);
    } else if (path == "/kv-range") {
      ++mCalls;
      Read(aExchange, target);
    } else if (path == "/kv-watch") {
      ++mCalls;
      Watch(aExchange, target);
    } else {
      Answer(aExchange, Json::object(), 404);
    }
  }

 private:
  struct Item {
    std::string mValue;
    std::uint64_t mRevision = 0;
    bool mRemoved = false;
  };
  struct Watcher {
    HttpExchangePtr mExchange;
    std::uint64_t mAfter = 0;
    std::unique_ptr<asio::steady_timer> mTimer;
  };

  void Answer(const HttpExchangePtr& aExchange, const Json& aBody,
              int aStatus = 200) const {
    HttpReply reply;
    reply.mStatus = aStatus;
    reply.mHeaders.emplace_back("Store-Era", fmt::format("{}", mEra));
    reply.mBody = aBody.dump();
    aExchange->Reply(reply);
  }

  static std::string Decode(const std::string& aText) {
    int size = 0;
    char* const decoded = curl_easy_unescape(
        nullptr, aText.c_str(), static_cast<int>(aText.size()), &size);
    std::string text(decoded, static_cast<std::size_t>(size));
    curl_free(decoded);
    return text;
  }

  static Json Render(const std::string& aKey, const Item& aItem) {
    if (aItem.mRemoved) {
      return Json{{"key", aKey}, {"rev", aItem.mRevision}, {"removed", true}};
    }
    return Json{{"key", aKey},
                {"value", EncodeBase64(aItem.mValue)},
                {"rev", aItem.mRevision},
                {"create-revision", aItem.mRevision},
                {"lease", 0}};
  }

  void Write(const HttpExchangePtr& aExchange, const std::string& aTarget) {
    const std::string key = Decode(QueryField(aTarget, "key"));
    const bool isRemoval = aExchange->Method() == "DELETE";
    mItems[key] =
        Item{isRemoval ? "" : aExchange->Body(), ++mRevision, isRemoval};
    Answer(aExchange, Json{{"rev", mRevision}});
    const auto watchers = std::exchange(mWatchers, {});
    for (const auto& watcher : watchers) {
      AnswerWatch(*watcher);
    }
  }

  void Read(const HttpExchangePtr& aExchange, const std::string& aTarget) {
    const std::string prefix = Decode(QueryField(aTarget, "prefix"));
    const std::string after = Decode(QueryField(aTarget, "after"));
    Json items = Json::array();
    bool hasMore = false;
    for (const auto& [key, item] : mItems) {
      const bool wanted =
          key.starts_with(prefix) && key > after && !item.mRemoved;
      if (wanted && items.size() == kPageItems) {
        hasMore = true;
        break;
      }
      if (wanted) {
        items.push_back(Render(key, item));
      }
    }
    Answer(aExchange,
           Json{{"items", items}, {"has-more", hasMore}, {"as-of", mRevision}});
  }

  void Watch(const HttpExchangePtr& aExchange, const std::string& aTarget) {
    const auto watcher = std::make_shared<Watcher>();
    watcher->mExchange = aExchange;
    watcher->mAfter = QueryNumber(aTarget, "after");
    const bool hasHistory =
        watcher->mAfter >= mCompactedRevision && watcher->mAfter <= mRevision;
    if (!hasHistory) {
      Answer(aExchange, Json::object(), http_status::kGone);
      return;
    }
    if (mRevision > watcher->mAfter) {
      AnswerWatch(*watcher);
      return;
    }
    watcher->mTimer = std::make_unique<asio::steady_timer>(mContext);
    watcher->mTimer->expires_after(
        std::chrono::milliseconds(QueryNumber(aTarget, "wait-ms")));
    watcher->mTimer->async_wait([this, watcher](asio::error_code aError) {
      if (!aError) {
        mWatchers.remove(watcher);
        AnswerWatch(*watcher);
      }
    });
    mWatchers.push_back(watcher);
  }

  void AnswerWatch(const Watcher& aWatcher) {
    Json events = Json::array();
    for (const auto& [key, item] : mItems) {
      if (item.mRevision > aWatcher.mAfter) {
        events.push_back(Render(key, item));
      }
    }
    Answer(aWatcher.mExchange, Json{{"events", events}, {"as-of", mRevision}});
  }

  void SetFault(const HttpExchangePtr& aExchange) {
    mFault = aExchange->Body();
    if (mFault == "forget") {
      mCompactedRevision = mRevision;
      mFault.clear();
    } else if (mFault == "copy") {
      mCopy = Copy{mItems, mRevision};
      mFault.clear();
    } else if (mFault == "restore") {
      Restore();
      mFault.clear();
    }
    Answer(aExchange, Json{{"fault", mFault}});
    if (mFault == "down") {
      for (const auto& watcher : std::exchange(mWatchers, {})) {
        Answer(watcher->mExchange, Json::object(), http_status::kUnavailable);
      }
    }
  }

  /** Brings the copy back: later changes are lost, and their revisions are
   * given out again. */
  void Restore() {
    mItems = mCopy.mItems;
    mRevision = mCopy.mRevision;
    ++mEra;
    for (const auto& watcher : std::exchange(mWatchers, {})) {
      Answer(watcher->mExchange, Json::object(), http_status::kGone);
    }
  }

  struct Copy {
    std::map<std::string, Item> mItems;
    std::uint64_t mRevision = 1;
  };

  asio::io_context& mContext;
  Copy mCopy;
  /** Increases with each restore. */
  std::uint64_t mEra = 1;
  std::map<std::string, Item> mItems;
  std::uint64_t mRevision = 1;
  /** Watches from before this revision are refused with status 410, because the
   * history up to it was removed. */
  std::uint64_t mCompactedRevision = 0;
  /** "down", "hang", or another text for none. */
  std::string mFault;
  std::uint64_t mCalls = 0;
  std::list<std::shared_ptr<Watcher>> mWatchers;
  /** Exchanges that are never answered because of the fault "hang". */
  std::vector<HttpExchangePtr> mHangingExchanges;
};

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-standin-store",
                           "stands in for the platform's store");
  settings.Add("address", std::nullopt, "IP number and port to listen on",
               CheckAddress);
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  Store store(context);
  return ServeStandIn(
      context, settings.Text("address"),
      [&](const HttpExchangePtr& aExchange) { store.Handle(aExchange); });
}
