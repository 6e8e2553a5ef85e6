// Parses the input as a settings file. Checks that accepted settings are within
// their limits.
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>

#include "drivers/program_settings.h"

namespace {

/** A file that is deleted when the process exits. */
class TemporaryFile {
 public:
  TemporaryFile() : mPath("/tmp/papayawheel-fuzz-XXXXXX") {
    close(mkstemp(mPath.data()));
  }
  ~TemporaryFile() { unlink(mPath.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  [[nodiscard]] const std::string& Path() const { return mPath; }

 private:
  std::string mPath;
};

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  using namespace papayawheel;
  static const TemporaryFile sFile;
  std::ofstream(sFile.Path(), std::ios::binary | std::ios::trunc)
      .write(reinterpret_cast<const char*>(aData),
             static_cast<std::streamsize>(aSize));
  ProgramSettings settings("fuzz", "reads a settings file");
  settings.AddFile("settings-file", "the file");
  settings.Add("name", "host", "a name", CheckName);
  settings.Add("address", "127.0.0.1:1", "an address", CheckAddress);
  settings.Add("seeds", "", "addresses", CheckAddressList);
  settings.AddNumber("grace-ms", 6000, 1, 100'000, "a time");
  settings.AddDecimal("ratio", "0.2", 0, 10, "a part");
  const std::array<const char*, 3> arguments = {"fuzz", "--settings-file",
                                                sFile.Path().c_str()};
  if (!settings.Parse(arguments.size(), arguments.data())) {
    const bool kept = settings.Number("grace-ms") >= 1 &&
                      settings.Decimal("ratio") <= 10 &&
                      !CheckAddress(settings.Text("address"));
    if (!kept) {
      std::abort();
    }
    static_cast<void>(settings.List("seeds"));
  }
  return 0;
}
