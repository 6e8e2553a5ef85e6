#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayawheel {

/** Exit codes of all programs. */
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

/** The settings of one program, from flags, environment variables and, if the
 * program allows one, a file. A flag "--data-centre" may also be given as
 * PAPAYAWHEEL_DATA_CENTRE or as a line "data-centre = ..." of the file. A flag
 * overrides the environment, which overrides the file. Every value is checked
 * before the program starts. */
class ProgramSettings {
 public:
  /** Returns the error of a value, such as "must be a port"; empty if it is
   * valid. */
  using Check = std::function<std::optional<std::string>(const std::string&)>;

  ProgramSettings(std::string aProgram, std::string aSummary);
  ~ProgramSettings();
  ProgramSettings(const ProgramSettings&) = delete;
  ProgramSettings& operator=(const ProgramSettings&) = delete;

  /** Adds a setting, which is required if it has no default. */
  void Add(const std::string& aName, std::optional<std::string> aDefault,
           const std::string& aHelp, Check aCheck = {});

  /** Adds a setting that is a whole number between two bounds, inclusive. */
  void AddNumber(const std::string& aName, std::optional<std::int64_t> aDefault,
                 std::int64_t aMin, std::int64_t aMax,
                 const std::string& aHelp);

  /** Adds a setting that is a decimal number between two bounds, inclusive. */
  void AddDecimal(const std::string& aName, std::optional<std::string> aDefault,
                  double aMin, double aMax, const std::string& aHelp);

  /** The same for a number that may be left out: an empty value is valid, and
   * the default. */
  void AddOptionalDecimal(const std::string& aName, double aMin, double aMax,
                          const std::string& aHelp);

  /** Adds a setting that is "false" unless its flag is given, without a value.
   */
  void AddSwitch(const std::string& aName, const std::string& aHelp);

  /** Adds the setting that holds the path of the settings file. */
  void AddFile(const std::string& aName, const std::string& aHelp);

  /** Allows positional arguments.
   * @param aHelp describes them in the usage line. */
  void AllowPositional(const std::string& aHelp);

  /** Parses the command line, the environment and the file. Returns the exit
   * code if the program must not start, after it has printed the help, the
   * version or every error. */
  std::optional<int> Parse(int aCount, const char* const* aArguments);

  [[nodiscard]] std::string Text(const std::string& aName) const;
  [[nodiscard]] std::int64_t Number(const std::string& aName) const;
  [[nodiscard]] double Decimal(const std::string& aName) const;
  [[nodiscard]] std::optional<double> OptionalDecimal(
      const std::string& aName) const;
  /** A comma-separated value, without empty parts. */
  [[nodiscard]] std::vector<std::string> List(const std::string& aName) const;
  [[nodiscard]] const std::vector<std::string>& PositionalArguments() const;

 private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Checks for ProgramSettings::Add(). */
std::optional<std::string> CheckAddress(const std::string& aValue);
std::optional<std::string> CheckAddressList(const std::string& aValue);
std::optional<std::string> CheckName(const std::string& aValue);
std::optional<std::string> CheckLogLevel(const std::string& aValue);
std::optional<std::string> CheckBoolean(const std::string& aValue);

/** Splits at commas and drops empty parts. */
std::vector<std::string> SplitList(const std::string& aText);

}  // namespace papayawheel
