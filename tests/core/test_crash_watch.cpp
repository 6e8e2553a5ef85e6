#include <doctest/doctest.h>

#include "core/gateway/crash_watch.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("crash watch: a request stops after it has crashed two endpoints") {
  CrashWatch watch;
  for (const char* const endpoint : {"a", "b"}) {
    CHECK_FALSE(watch.IsStopped(7, kStart));
    watch.NoteLost(EndpointCrash{7, endpoint}, kStart);
    watch.NoteUnreachable(endpoint, kStart + milliseconds(100));
    CHECK(watch.IsSuspect(7, kStart + milliseconds(100)));
  }
  CHECK(watch.IsStopped(7, kStart + milliseconds(100)));
  CHECK_FALSE(watch.IsStopped(8, kStart + milliseconds(100)));
  CHECK(watch.TakeNews().size() == 2);
  CHECK(watch.TakeNews().empty());
  CHECK_FALSE(watch.IsStopped(7, kStart + seconds(61)));
}

TEST_CASE("crash watch: lost answers of endpoints that live are no crashes") {
  CrashWatch watch;
  for (const char* const endpoint : {"a", "b", "c"}) {
    watch.NoteLost(EndpointCrash{7, endpoint}, kStart);
    watch.NoteAlive(endpoint, kStart);
    watch.NoteUnreachable(endpoint, kStart + milliseconds(100));
    watch.NoteLost(EndpointCrash{7, endpoint}, kStart + milliseconds(200));
    // Unreachable only much later, for another reason.
    watch.NoteUnreachable(endpoint, kStart + seconds(5));
  }
  CHECK_FALSE(watch.IsSuspect(7, kStart + seconds(5)));
}

TEST_CASE("crash watch: crashes that other hosts tell count") {
  CrashWatch watch;
  watch.NoteCrash(EndpointCrash{7, "a"}, kStart);
  watch.NoteCrash(EndpointCrash{7, "a"}, kStart);
  CHECK_FALSE(watch.IsStopped(7, kStart));
  watch.NoteCrash(EndpointCrash{7, "b"}, kStart);
  CHECK(watch.IsStopped(7, kStart));
  CHECK(watch.TakeNews().empty());
}

}  // namespace
}  // namespace papayawheel
