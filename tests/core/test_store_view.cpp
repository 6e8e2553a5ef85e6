#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/view/store_view.h"

namespace papayawheel {
namespace {

/** A simulated store. Every write and every removal gets a new revision. */
class FakeStore {
 public:
  void Write(const std::string& aKey) {
    ++mRevision;
    mItems[aKey] = StoreChange{aKey, mRevision, std::to_string(mRevision)};
    mLog.push_back(mItems[aKey]);
  }
  void Remove(const std::string& aKey) {
    if (mItems.erase(aKey) > 0) {
      mLog.push_back(StoreChange{aKey, ++mRevision, std::nullopt});
    }
  }
  /** Takes a copy, which Restore() brings back in a new era. */
  void Copy() {
    mCopiedItems = mItems;
    mCopiedRevision = mRevision;
  }
  void Restore() {
    mItems = mCopiedItems;
    mRevision = mCopiedRevision;
    std::erase_if(mLog, [this](const StoreChange& aChange) {
      return aChange.mRevision > mRevision;
    });
    ++mEra;
  }
  [[nodiscard]] std::uint64_t Era() const { return mEra; }

  [[nodiscard]] StoreDelta Read() const {
    StoreDelta delta{true, mRevision, {}, {}, mEra};
    for (const auto& [key, item] : mItems) {
      delta.mChanges.push_back(item);
    }
    return delta;
  }
  [[nodiscard]] StoreDelta Since(std::uint64_t aRevision) const {
    StoreDelta delta{false, mRevision, {}, {}, mEra};
    std::copy_if(mLog.begin(), mLog.end(), std::back_inserter(delta.mChanges),
                 [aRevision](const StoreChange& aChange) {
                   return aChange.mRevision > aRevision;
                 });
    return delta;
  }

  [[nodiscard]] std::map<std::string, std::string> Content() const {
    std::map<std::string, std::string> content;
    for (const auto& [key, item] : mItems) {
      content[key] = *item.mValue;
    }
    return content;
  }

 private:
  std::uint64_t mRevision = 1;
  std::uint64_t mEra = 1;
  std::uint64_t mCopiedRevision = 1;
  std::map<std::string, StoreChange> mCopiedItems;
  std::map<std::string, StoreChange> mItems;
  std::vector<StoreChange> mLog;
};

std::map<std::string, std::string> ContentOf(const StoreView& aView) {
  std::map<std::string, std::string> content;
  for (const auto& [key, item] : aView.Items()) {
    if (item.mValue) {
      content[key] = *item.mValue;
    }
  }
  return content;
}

TEST_CASE("view: hosts converge and no key goes back under any exchange") {
  CHECK(rc::check("exchanges", [] {
    FakeStore store;
    std::vector<StoreView> views(3);
    std::vector<StoreDelta> late;
    using Position = std::pair<std::uint64_t, std::uint64_t>;
    std::vector<std::map<std::string, Position>> seen(views.size());
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 6)));
    for (const auto& [act, number] : steps) {
      const std::string key = "k" + std::to_string(number % 4);
      const std::size_t host = static_cast<std::size_t>(number) % views.size();
      StoreView& view = views[host];
      switch (act) {
        case 0:
          store.Write(key);
          break;
        case 1:
          store.Remove(key);
          break;
        case 2:
          view.Apply(store.Read());
          break;
        case 3:
          if (view.IsLoaded() && view.Era() == store.Era()) {
            view.Apply(store.Since(view.AsOf()));
          }
          break;
        case 4: {
          const StoreView& peer = views[(host + 1) % views.size()];
          if (peer.IsLoaded()) {
            const bool isSameEra = view.Era() == peer.Era();
            view.Apply(peer.Since(isSameEra ? view.AsOf() : 0));
          }
          break;
        }
        case 5:
          late.push_back(store.Read());
          break;
        case 6:
          store.Copy();
          break;
        case 7:
          store.Restore();
          break;
        default:
          if (!late.empty()) {
            view.Apply(late[static_cast<std::size_t>(number) % late.size()]);
          }
          break;
      }
      for (const auto& [name, item] : view.Items()) {
        const Position position(view.Era(), item.mRevision);
        RC_ASSERT(position >= seen[host][name]);
        seen[host][name] = position;
      }
    }
    // One host reads the store; another one pulls from that host.
    views[0].Apply(store.Read());
    const bool isSameEra = views[0].Era() == views[1].Era();
    views[1].Apply(views[0].Since(isSameEra ? views[1].AsOf() : 0));
    RC_ASSERT(ContentOf(views[0]) == store.Content());
    RC_ASSERT(ContentOf(views[1]) == store.Content());
  }));
}

TEST_CASE(
    "view: a host that lags behind the pruned removals gets a full copy") {
  FakeStore store;
  store.Write("stays");
  StoreView ahead;
  ahead.Apply(store.Read());
  StoreView behind;
  behind.Apply(store.Read());
  for (int number = 0; number < 600; ++number) {
    const std::string key = "k" + std::to_string(number);
    store.Write(key);
    store.Remove(key);
  }
  ahead.Apply(store.Since(ahead.AsOf()));
  const StoreDelta delta = ahead.Since(behind.AsOf());
  CHECK(delta.mFull);
  behind.Apply(delta);
  CHECK(ContentOf(behind) == store.Content());
}

/** Returns a store with so many keys that a full copy is much larger than a few
 * changes. */
FakeStore MakeLargeStore() {
  FakeStore store;
  for (int number = 0; number < 300; ++number) {
    store.Write("key" + std::to_string(number));
  }
  return store;
}

TEST_CASE("view: a host that read the store anew sends only what is missing") {
  FakeStore store = MakeLargeStore();
  StoreView ahead;
  ahead.Apply(store.Read());
  StoreView behind = ahead;
  store.Write("key1");
  store.Remove("key2");
  ahead.Apply(store.Read());
  const StoreDelta delta = ahead.Since(behind.AsOf());
  CHECK_FALSE(delta.mFull);
  CHECK(delta.mChanges.size() == 2);
  behind.Apply(delta);
  CHECK(ContentOf(behind) == store.Content());
}

TEST_CASE(
    "view: a key written and removed between two reads causes a full copy") {
  // "between" knows a key that was written and removed between two full reads
  // of "ahead". A delta from "ahead" lacks the removal, so "between" would keep
  // the key.
  FakeStore store = MakeLargeStore();
  StoreView ahead;
  ahead.Apply(store.Read());
  StoreView passing = ahead;
  StoreView between = ahead;
  store.Write("brief");
  between.Apply(store.Since(between.AsOf()));
  store.Remove("brief");
  ahead.Apply(store.Read());
  // A host that received the delta has the same gap and must not hide it from
  // the hosts that pull from it.
  passing.Apply(ahead.Since(passing.AsOf()));
  for (const StoreView* source : {&ahead, &passing}) {
    StoreView behind = between;
    const StoreDelta delta = source->Since(behind.AsOf());
    CHECK(delta.mFull);
    behind.Apply(delta);
    CHECK(ContentOf(behind) == store.Content());
  }
}

TEST_CASE("view: gaps older than those recorded cause full copies") {
  FakeStore store = MakeLargeStore();
  StoreView ahead;
  ahead.Apply(store.Read());
  std::vector<StoreView> between;
  for (int read = 0; read < 20; ++read) {
    StoreView seen = ahead;
    store.Write("brief" + std::to_string(read));
    seen.Apply(store.Since(seen.AsOf()));
    between.push_back(seen);
    store.Remove("brief" + std::to_string(read));
    ahead.Apply(store.Read());
  }
  for (StoreView& behind : between) {
    behind.Apply(ahead.Since(behind.AsOf()));
    CHECK(ContentOf(behind) == store.Content());
  }
}

}  // namespace
}  // namespace papayawheel
