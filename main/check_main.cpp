#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "core/config/configuration_parser.h"
#include "drivers/program_settings.h"

namespace {

using namespace papayawheel;

std::optional<std::string> ReadFile(const std::filesystem::path& aPath) {
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/** Reads the documents "fleet.json" and "contracts/NAME.json" below a folder.
 * Returns nothing after it has printed an error. */
std::optional<Snapshot> ReadFolder(const std::filesystem::path& aFolder) {
  Snapshot snapshot;
  snapshot.mRevision = 1;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(aFolder, error)) {
    if (!entry.is_regular_file() || entry.path().extension() != ".json") {
      continue;
    }
    const auto text = ReadFile(entry.path());
    if (!text) {
      fmt::print(stderr, "papayawheel-check: cannot read \"{}\"\n",
                 entry.path().string());
      return std::nullopt;
    }
    auto key = std::filesystem::relative(entry.path(), aFolder);
    key.replace_extension();
    snapshot.mDocuments[key.generic_string()] = Document{1, *text};
  }
  if (error) {
    fmt::print(stderr, "papayawheel-check: cannot read folder \"{}\": {}\n",
               aFolder.string(), error.message());
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings(
      "papayawheel-check",
      "checks the documents of a folder as the entry program would");
  settings.AllowPositional("FOLDER");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  if (settings.PositionalArguments().size() != 1) {
    fmt::print(stderr, "papayawheel-check: one folder must be given\n");
    return kExitBadSettings;
  }
  const auto snapshot = ReadFolder(settings.PositionalArguments().front());
  if (!snapshot) {
    return kExitFailure;
  }
  ConfigurationParser parser;
  const auto configuration = parser.Parse(*snapshot);
  if (!configuration) {
    fmt::print(stderr, "papayawheel-check: {}\n", parser.LastError());
    return kExitFailure;
  }
  fmt::print("valid: {} contracts, {} services, {} hosts\n",
             configuration->mContracts.size(), configuration->mServices.size(),
             configuration->mHosts.size());
  return kExitOk;
}
