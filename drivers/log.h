#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace papayawheel {

enum class LogLevel { Debug, Info, Warning, Error };

/** Parses "debug", "info", "warning" or "error"; empty for any other name. */
std::optional<LogLevel> ParseLogLevel(std::string_view aName);

/** One key and its value in a log line. */
struct LogField {
  template <typename Value>
  LogField(std::string_view aKey, const Value& aValue)
      : mKey(aKey), mValue(fmt::format("{}", aValue)) {}

  std::string_view mKey;
  std::string mValue;
};

/** Sets the level below which events are not logged; the default is Info. */
void SetLogLevel(LogLevel aLevel);

/** Writes one event as one line of key=value pairs to standard output. Does not
 * block if the output is read slowly. Values with spaces or quotes are quoted.
 * If the queue of lines is full, events above Debug take precedence over
 * routine ones. Thread-safe. */
void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/** Logs an event of the normal course of a request at level Info. Such lines
 * are dropped first if the queue is full. */
void LogRoutine(std::string_view aEvent,
                std::initializer_list<LogField> aFields = {});

}  // namespace papayawheel
