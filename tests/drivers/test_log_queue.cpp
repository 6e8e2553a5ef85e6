#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "drivers/log_queue.h"

namespace papayawheel {
namespace {

TEST_CASE("log queue: a blocked sink does not block callers") {
  auto blocked = std::make_shared<std::promise<void>>();
  const std::shared_future<void> open = blocked->get_future().share();
  constexpr std::size_t kMaxBytes = 1000;
  const std::string line(9, 'x');
  {
    LogQueue queue([open](const std::string&) { open.wait(); }, kMaxBytes);
    for (int number = 0; number < 10'000; ++number) {
      queue.Push(line + "\n", LogPriority::Routine);
    }
    const std::uint64_t routine = queue.Dropped();
    CHECK(routine >= 10'000 - kMaxBytes / 10);
    // Important lines still fit into the queue.
    queue.Push(line + "\n", LogPriority::Important);
    CHECK(queue.Dropped() == routine);
    for (int number = 0; number < 1000; ++number) {
      queue.Push(line + "\n", LogPriority::Important);
    }
    CHECK(queue.Dropped() > routine);
  }
  blocked->set_value();
}

TEST_CASE("log queue: lines keep their order and drops are reported") {
  auto written = std::make_shared<std::string>();
  {
    LogQueue queue([written](const std::string& aText) { *written += aText; },
                   100);
    queue.Push("one\n", LogPriority::Routine);
    queue.Push(std::string(200, 'x') + "\n", LogPriority::Important);
    queue.Push("two\n", LogPriority::Important);
  }
  CHECK(*written ==
        "one\ntwo\nlevel=warning event=log_lines_dropped count=1\n");
}

}  // namespace
}  // namespace papayawheel
