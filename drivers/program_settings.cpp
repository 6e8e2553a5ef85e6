#include "drivers/program_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <utility>

#include "core/base/parse_number.h"
#include "core/config/address.h"
#include "drivers/log.h"

namespace papayawheel {
namespace {

namespace options = boost::program_options;

constexpr std::string_view kVersion = "0.1.0";

/** A file with a setting that the program does not have is rejected. */
constexpr bool kAllowUnregistered = false;

std::string EnvironmentVariable(const std::string& aName) {
  std::string variable = "PAPAYAWHEEL_";
  for (const char byte : aName) {
    variable +=
        byte == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(byte)));
  }
  return variable;
}

ProgramSettings::Check DecimalCheck(double aMin, double aMax) {
  return [aMin, aMax](const std::string& aValue) -> std::optional<std::string> {
    const auto number = ParseNumber<double>(aValue);
    if (number && *number >= aMin && *number <= aMax) {
      return std::nullopt;
    }
    return fmt::format("must be a number from {} to {}", aMin, aMax);
  };
}

}  // namespace

class ProgramSettings::Impl {
 public:
  struct Setting {
    std::optional<std::string> mDefault;
    Check mCheck;
  };

  /** Determines the value of one setting; adds an error if it is missing or
   * invalid. */
  void ResolveValue(const std::string& aName, const Setting& aSetting,
                    const options::variables_map& aFlags) {
    const char* const variable =
        std::getenv(EnvironmentVariable(aName).c_str());
    std::string value;
    if (aFlags.count(aName) > 0) {
      value = aFlags[aName].as<std::string>();
    } else if (variable != nullptr) {
      value = variable;
    } else if (mFileValues.count(aName) > 0) {
      value = mFileValues[aName].as<std::string>();
    } else if (aSetting.mDefault) {
      mValues[aName] = *aSetting.mDefault;
      return;
    } else {
      mErrors.push_back(
          fmt::format("setting \"{}\" must be given, as --{} or "
                      "as {}",
                      aName, aName, EnvironmentVariable(aName)));
      return;
    }
    if (aSetting.mCheck) {
      if (const auto error = aSetting.mCheck(value)) {
        mErrors.push_back(fmt::format("setting \"{}\": value \"{}\" {}", aName,
                                      value, *error));
      }
    }
    mValues[aName] = value;
  }

  /** Whether a line of a file has a percent sign before its value. Boost takes
   * such names for placeholders in its error texts and may replace them without
   * end. */
  static bool HasPercentInName(const std::string& aPath) {
    std::ifstream file(aPath);
    std::string line;
    while (std::getline(file, line)) {
      const std::string content = line.substr(0, line.find('#'));
      const std::string name = content.substr(0, content.find('='));
      if (name.find('%') != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  /** Reads the settings file that a flag or the environment names. */
  void ReadFile(const options::variables_map& aFlags) {
    if (mFileSetting.empty()) {
      return;
    }
    const char* const variable =
        std::getenv(EnvironmentVariable(mFileSetting).c_str());
    std::string path = variable == nullptr ? "" : variable;
    if (aFlags.count(mFileSetting) > 0) {
      path = aFlags[mFileSetting].as<std::string>();
    }
    if (path.empty()) {
      return;
    }
    if (HasPercentInName(path)) {
      mErrors.push_back(
          fmt::format("file \"{}\": a name contains a percent sign", path));
      return;
    }
    try {
      options::store(options::parse_config_file<char>(
                         path.c_str(), mDescription, kAllowUnregistered),
                     mFileValues);
    } catch (const std::exception& error) {
      mErrors.push_back(fmt::format("file \"{}\": {}", path, error.what()));
    }
  }

  std::string mProgram;
  std::string mSummary;
  std::string mPositionalHelp;
  /** Name of the setting that holds the path of the file; empty if none. */
  std::string mFileSetting;
  options::variables_map mFileValues;
  options::options_description mDescription{"Settings"};
  std::map<std::string, Setting> mSettings;
  std::map<std::string, std::string> mValues;
  std::vector<std::string> mPositional;
  std::vector<std::string> mErrors;
};

ProgramSettings::ProgramSettings(std::string aProgram, std::string aSummary)
    : mImpl(std::make_unique<Impl>()) {
  mImpl->mProgram = std::move(aProgram);
  mImpl->mSummary = std::move(aSummary);
  mImpl->mDescription.add_options()("help", "print this text and exit")(
      "version", "print the version and exit");
}

ProgramSettings::~ProgramSettings() = default;

void ProgramSettings::Add(const std::string& aName,
                          std::optional<std::string> aDefault,
                          const std::string& aHelp, Check aCheck) {
  const std::string help =
      aDefault ? fmt::format("{} (default \"{}\")", aHelp, *aDefault)
               : fmt::format("{} (required)", aHelp);
  mImpl->mDescription.add_options()(
      aName.c_str(), options::value<std::string>(), help.c_str());
  mImpl->mSettings[aName] =
      Impl::Setting{std::move(aDefault), std::move(aCheck)};
}

void ProgramSettings::AddNumber(const std::string& aName,
                                std::optional<std::int64_t> aDefault,
                                std::int64_t aMin, std::int64_t aMax,
                                const std::string& aHelp) {
  std::optional<std::string> text;
  if (aDefault) {
    text = fmt::format("{}", *aDefault);
  }
  Add(aName, std::move(text), aHelp,
      [aMin, aMax](const std::string& aValue) -> std::optional<std::string> {
        const auto number = ParseNumber<std::int64_t>(aValue);
        if (number && *number >= aMin && *number <= aMax) {
          return std::nullopt;
        }
        return fmt::format("must be a whole number from {} to {}", aMin, aMax);
      });
}

void ProgramSettings::AddDecimal(const std::string& aName,
                                 std::optional<std::string> aDefault,
                                 double aMin, double aMax,
                                 const std::string& aHelp) {
  Add(aName, std::move(aDefault), aHelp, DecimalCheck(aMin, aMax));
}

void ProgramSettings::AddOptionalDecimal(const std::string& aName, double aMin,
                                         double aMax,
                                         const std::string& aHelp) {
  Add(aName, "", aHelp,
      [check = DecimalCheck(aMin, aMax)](const std::string& aValue) {
        return aValue.empty() ? std::nullopt : check(aValue);
      });
}

void ProgramSettings::AddSwitch(const std::string& aName,
                                const std::string& aHelp) {
  mImpl->mDescription.add_options()(
      aName.c_str(),
      options::value<std::string>()->zero_tokens()->implicit_value("true"),
      aHelp.c_str());
  mImpl->mSettings[aName] = Impl::Setting{"false", CheckBoolean};
}

void ProgramSettings::AddFile(const std::string& aName,
                              const std::string& aHelp) {
  Add(aName, "", aHelp);
  mImpl->mFileSetting = aName;
}

void ProgramSettings::AllowPositional(const std::string& aHelp) {
  mImpl->mPositionalHelp = aHelp;
}

std::optional<int> ProgramSettings::Parse(int aCount,
                                          const char* const* aArguments) {
  options::options_description all;
  all.add(mImpl->mDescription);
  all.add_options()("word", options::value<std::vector<std::string>>());
  options::positional_options_description positions;
  positions.add("word", mImpl->mPositionalHelp.empty() ? 0 : -1);
  options::variables_map flags;
  try {
    options::store(options::command_line_parser(aCount, aArguments)
                       .options(all)
                       .positional(positions)
                       .run(),
                   flags);
  } catch (const options::error& error) {
    fmt::print(stderr, "{}: {}\n", mImpl->mProgram, error.what());
    return kExitBadSettings;
  }
  if (flags.count("help") > 0) {
    fmt::print("{}: {}\n\nUsage: {} [settings] {}\n\n", mImpl->mProgram,
               mImpl->mSummary, mImpl->mProgram, mImpl->mPositionalHelp);
    std::cout << mImpl->mDescription
              << "\nEach setting may also be given in the environment, as in "
                 "PAPAYAWHEEL_LOG_LEVEL.\n"
                 "Exit codes: 0 success, 1 failure, 2 invalid settings.\n";
    return kExitOk;
  }
  if (flags.count("version") > 0) {
    fmt::print("{} {}\n", mImpl->mProgram, kVersion);
    return kExitOk;
  }
  if (flags.count("word") > 0) {
    mImpl->mPositional = flags["word"].as<std::vector<std::string>>();
  }
  mImpl->ReadFile(flags);
  for (const auto& [name, setting] : mImpl->mSettings) {
    mImpl->ResolveValue(name, setting, flags);
  }
  for (const std::string& error : mImpl->mErrors) {
    fmt::print(stderr, "{}: {}\n", mImpl->mProgram, error);
  }
  if (!mImpl->mErrors.empty()) {
    return kExitBadSettings;
  }
  return std::nullopt;
}

std::string ProgramSettings::Text(const std::string& aName) const {
  return mImpl->mValues.at(aName);
}

std::int64_t ProgramSettings::Number(const std::string& aName) const {
  return ParseNumber<std::int64_t>(Text(aName)).value_or(0);
}

double ProgramSettings::Decimal(const std::string& aName) const {
  return ParseNumber<double>(Text(aName)).value_or(0);
}

std::optional<double> ProgramSettings::OptionalDecimal(
    const std::string& aName) const {
  return ParseNumber<double>(Text(aName));
}

std::vector<std::string> ProgramSettings::List(const std::string& aName) const {
  return SplitList(Text(aName));
}

const std::vector<std::string>& ProgramSettings::PositionalArguments() const {
  return mImpl->mPositional;
}

std::optional<std::string> CheckAddress(const std::string& aValue) {
  if (IsAddress(aValue)) {
    return std::nullopt;
  }
  return "must be an IP number and a port, as in \"10.0.0.7:8080\"";
}

std::optional<std::string> CheckAddressList(const std::string& aValue) {
  const std::vector<std::string> parts = SplitList(aValue);
  if (std::all_of(parts.begin(), parts.end(), IsAddress)) {
    return std::nullopt;
  }
  return "must be IP numbers and ports, separated by commas";
}

std::optional<std::string> CheckName(const std::string& aValue) {
  const bool legal =
      !aValue.empty() &&
      std::all_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
        return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
      });
  if (legal) {
    return std::nullopt;
  }
  return "must be letters, digits, '-' or '_'";
}

std::optional<std::string> CheckLogLevel(const std::string& aValue) {
  if (ParseLogLevel(aValue)) {
    return std::nullopt;
  }
  return "must be \"debug\", \"info\", \"warning\" or \"error\"";
}

std::optional<std::string> CheckBoolean(const std::string& aValue) {
  if (aValue == "true" || aValue == "false") {
    return std::nullopt;
  }
  return "must be \"true\" or \"false\"";
}

std::vector<std::string> SplitList(const std::string& aText) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t comma = std::min(aText.find(',', start), aText.size());
    if (comma > start) {
      parts.push_back(aText.substr(start, comma - start));
    }
    start = comma + 1;
  }
  return parts;
}

}  // namespace papayawheel
