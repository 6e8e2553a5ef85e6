// Decodes the input as each kind of document in the platform's store and as
// each kind of answer that the store sends.
#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/documents.h"
#include "platform/store_protocol.h"

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  using namespace papayawheel;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  platform::DecodeConfiguration(text);
  platform::DecodeEndpoint("i-1", text);
  platform::ParseRead(text);
  platform::ParseWatch(text);
  return 0;
}
