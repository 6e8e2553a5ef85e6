#include <doctest/doctest.h>

#include <vector>

#include "core/gossip/datagram_inbox.h"
#include "core/gossip/member_publication.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("datagram inbox: each datagram is dated before its arrival") {
  DatagramInbox<int> inbox(kStart);
  inbox.Add(1);
  inbox.NoteSocketEmpty(kStart + milliseconds(50));
  inbox.Add(2);
  CHECK(inbox.Take()->mArrivedAfter == kStart);
  const auto second = inbox.Take();
  CHECK(second->mDatagram == 2);
  CHECK(second->mArrivedAfter == kStart + milliseconds(50));
  CHECK_FALSE(inbox.Take());
}

TEST_CASE("datagram inbox: of too many datagrams the latest ones are kept") {
  constexpr int kSent = 1000;
  constexpr auto kKept = static_cast<int>(DatagramInbox<int>::kCapacity);
  DatagramInbox<int> inbox(kStart);
  for (int datagram = 0; datagram < kSent; ++datagram) {
    inbox.Add(datagram);
  }
  CHECK(inbox.Dropped() == kSent - kKept);
  CHECK(inbox.Take()->mDatagram == kSent - kKept);
}

// Guards against a cost for each change of any host's load that grows with the
// fleet, and against a change that is never passed on.
TEST_CASE("member publication: its interval grows with the fleet") {
  struct Case {
    std::size_t mMembers;
    int mMaxPublished;
  };
  // In ten seconds with a change in each millisecond.
  const std::vector<Case> cases = {{18, 300}, {219, 24}, {311, 17}, {1000, 6}};
  for (const Case& one : cases) {
    CAPTURE(one.mMembers);
    MemberPublication publication;
    TimePoint now = kStart;
    int published = 0;
    std::uint64_t change = 0;
    for (; change < 10'000; ++change, now += milliseconds(1)) {
      published += publication.IsDue({change, 0}, one.mMembers, now) ? 1 : 0;
    }
    CHECK(published > 0);
    CHECK(published <= one.mMaxPublished);
    const bool isPublished = publication.IsDue({change, 0}, one.mMembers, now);
    if (!isPublished) {
      REQUIRE(publication.NextDue());
      CHECK(
          publication.IsDue({change, 0}, one.mMembers, *publication.NextDue()));
    }
    CHECK_FALSE(publication.NextDue());
  }
}

}  // namespace
}  // namespace papayawheel
