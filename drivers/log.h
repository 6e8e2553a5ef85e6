#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace papayawheel {

enum class LogLevel { Debug, Info, Warning, Error };

/** Reads "debug", "info", "warning" or "error". */
std::optional<LogLevel> ParseLogLevel(std::string_view aName);

/** One key and its value in a log line. */
struct LogField {
  template <typename Value>
  LogField(std::string_view aKey, const Value& aValue)
      : mKey(aKey), mValue(fmt::format("{}", aValue)) {}

  std::string_view mKey;
  std::string mValue;
};

/** Drops events below this level; Info at the start. */
void SetLogLevel(LogLevel aLevel);

/** Writes one event as one line of key=value pairs to standard output, without
 * waiting for whoever reads it. Values with spaces or quotes are quoted. Events
 * above Debug matter more than routine ones when not all can be written. Safe
 * for use by several threads. */
void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/** The same for the ordinary course of a request, at level Info: such lines are
 * the first to be dropped. */
void LogRoutine(std::string_view aEvent,
                std::initializer_list<LogField> aFields = {});

}  // namespace papayawheel
