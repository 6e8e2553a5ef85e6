#include <doctest/doctest.h>

#include <vector>

#include "core/routing/dispatch_queue.h"
#include "core/routing/request_classifier.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

DispatchQueue::Waiting Call(DispatchQueue::Id aId, std::uint32_t aPriority,
                            bool aLong, milliseconds aSince) {
  return DispatchQueue::Waiting{aId, aPriority, aLong, TimePoint(aSince),
                                TimePoint(aSince + milliseconds(250))};
}

TEST_CASE(
    "dispatch order: priority then short work and every eighth call the "
    "oldest") {
  DispatchQueue queue;
  queue.Push(Call(1, 1, true, milliseconds(1)));
  queue.Push(Call(2, 1, false, milliseconds(2)));
  for (DispatchQueue::Id id = 3; id < 12; ++id) {
    queue.Push(Call(id, 9, false, milliseconds(id)));
  }
  std::vector<DispatchQueue::Id> order;
  while (const DispatchQueue::Waiting* waiting = queue.Front()) {
    order.push_back(waiting->mId);
    queue.Take(waiting->mId);
  }
  // The eighth dispatch takes the call that has waited longest.
  CHECK(order ==
        std::vector<DispatchQueue::Id>{3, 4, 5, 6, 7, 8, 9, 1, 10, 11, 2});
}

TEST_CASE("a call put back keeps its place and an expired one leaves") {
  DispatchQueue queue;
  queue.Push(Call(1, 5, false, milliseconds(0)));
  queue.Push(Call(2, 5, false, milliseconds(100)));
  queue.Take(1);
  queue.PutBack(Call(1, 5, false, milliseconds(0)));
  CHECK(queue.Front()->mId == 1);
  CHECK(queue.Ahead(5, false) == 2);
  CHECK(queue.Ahead(6, false) == 0);
  CHECK(queue.Expire(TimePoint(milliseconds(300))) ==
        std::vector<DispatchQueue::Id>{1});
  CHECK(queue.Size() == 1);
}

TEST_CASE("kinds of requests that take many times longer count as long") {
  RequestClassifier routes;
  const auto shortKind = RequestClassifier::KindOf("huts", "GET", "/free?n=1");
  const auto longKind = RequestClassifier::KindOf("huts", "POST", "/group");
  CHECK(shortKind == RequestClassifier::KindOf("huts", "GET", "/free?n=2"));
  routes.NoteDuration(shortKind, milliseconds(4));
  CHECK_FALSE(routes.IsLong(longKind, milliseconds(4)));
  routes.NoteDuration(longKind, milliseconds(200));
  CHECK(routes.IsLong(longKind, milliseconds(4)));
  CHECK_FALSE(routes.IsLong(shortKind, milliseconds(4)));
}

}  // namespace
}  // namespace papayawheel
