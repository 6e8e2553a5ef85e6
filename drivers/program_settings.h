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

/** The settings of one program, from flags, environment variables and, where
 * the program allows one, a file. A flag "--data-centre" may also be given as
 * PAPAYAWHEEL_DATA_CENTRE or as a line "data-centre = ..." of the file; the
 * flag goes first, the file last. Every value is checked before the program
 * starts. */
class ProgramSettings {
 public:
  /** Says what is wrong with a value, as in "must be a port"; nothing when it
   * is allowed. */
  using Check = std::function<std::optional<std::string>(const std::string&)>;

  ProgramSettings(std::string aProgram, std::string aSummary);
  ~ProgramSettings();
  ProgramSettings(const ProgramSettings&) = delete;
  ProgramSettings& operator=(const ProgramSettings&) = delete;

  /** Adds a setting; without a default it must be given. */
  void Add(const std::string& aName, std::optional<std::string> aDefault,
           const std::string& aHelp, Check aCheck = {});

  /** Adds a setting that is a whole number within bounds. */
  void AddNumber(const std::string& aName, std::optional<std::int64_t> aDefault,
                 std::int64_t aMin, std::int64_t aMax,
                 const std::string& aHelp);

  /** Adds a setting that is a decimal number within bounds. */
  void AddDecimal(const std::string& aName, std::optional<std::string> aDefault,
                  double aMin, double aMax, const std::string& aHelp);

  /** Adds the setting that names a file of further settings. */
  void AddFile(const std::string& aName, const std::string& aHelp);

  /** Names the words that may follow the flags. */
  void AllowPositional(const std::string& aHelp);

  /** Reads the command line and the environment. Returns the exit code when
   * the program must not start, after it has printed the help, the version or
   * every fault. */
  std::optional<int> Parse(int aCount, const char* const* aArguments);

  [[nodiscard]] std::string Text(const std::string& aName) const;
  [[nodiscard]] std::int64_t Number(const std::string& aName) const;
  [[nodiscard]] double Decimal(const std::string& aName) const;
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
