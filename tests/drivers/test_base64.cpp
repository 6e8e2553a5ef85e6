#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "drivers/base64.h"

namespace papayawheel {
namespace {

TEST_CASE("base64: known texts") {
  struct Case {
    std::string mBytes;
    std::string mText;
  };
  for (const Case& one : {Case{"", ""}, Case{"f", "Zg=="}, Case{"fo", "Zm8="},
                          Case{"foo", "Zm9v"}, Case{"foob", "Zm9vYg=="}}) {
    CHECK(EncodeBase64(one.mBytes) == one.mText);
    CHECK(DecodeBase64(one.mText) == one.mBytes);
  }
  CHECK_FALSE(DecodeBase64("Zm9\xe9"));
}

TEST_CASE("base64: decoding restores the encoded bytes") {
  CHECK(rc::check("bytes", [](const std::string& aBytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(aBytes)) == aBytes);
  }));
}

}  // namespace
}  // namespace papayawheel
