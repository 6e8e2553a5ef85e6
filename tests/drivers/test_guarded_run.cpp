#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <stdexcept>

#include "drivers/guarded_run.h"

namespace papayawheel {
namespace {

TEST_CASE("guarded run: a handler that throws does not stop the others") {
  asio::io_context context;
  int handled = 0;
  for (int number = 0; number < 6; ++number) {
    asio::post(context, [&handled, number] {
      if (number % 2 == 0) {
        throw std::runtime_error("an unexpected error");
      }
      ++handled;
    });
  }
  RunGuarded(context, "test");
  CHECK(handled == 3);
}

}  // namespace
}  // namespace papayawheel
