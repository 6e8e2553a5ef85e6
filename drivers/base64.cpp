#include "drivers/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <exception>

namespace papayawheel {
namespace {

namespace iterators = boost::archive::iterators;

constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kBitsPerDigit = 6;
constexpr std::size_t kBitsPerByte = 8;

}  // namespace

std::string EncodeBase64(const std::string& aBytes) {
  using Writer = iterators::base64_from_binary<
      iterators::transform_width<std::string::const_iterator, 6, 8>>;
  // The last digit reads bits beyond the end, so the input is padded with zero
  // bytes.
  std::string padded = aBytes;
  while (padded.size() % kBytesPerGroup != 0) {
    padded += '\0';
  }
  std::string text(Writer(padded.cbegin()), Writer(padded.cend()));
  const std::size_t padding = padded.size() - aBytes.size();
  text.replace(text.size() - padding, padding, padding, '=');
  return text;
}

std::optional<std::string> DecodeBase64(std::string aText) {
  while (!aText.empty() && aText.back() == '=') {
    aText.pop_back();
  }
  using Reader = iterators::transform_width<
      iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
  // Bits of the last group that do not fill a byte are padding.
  const std::size_t bytes = aText.size() * kBitsPerDigit / kBitsPerByte;
  std::string decoded;
  decoded.reserve(bytes);
  try {
    Reader reader(aText.cbegin());
    for (std::size_t index = 0; index < bytes; ++index) {
      decoded += *reader++;
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return decoded;
}

}  // namespace papayawheel
