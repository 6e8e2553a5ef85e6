#include "drivers/log.h"

#include <fmt/chrono.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <string>

#include "drivers/log_queue.h"

namespace papayawheel {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

std::atomic<LogLevel> sLevel{LogLevel::Info};

bool NeedsQuotes(std::string_view aValue) {
  return aValue.empty() ||
         aValue.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void AppendValue(std::string& aLine, std::string_view aValue) {
  if (!NeedsQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aLine += '\\';
    }
    const bool breaksLine = byte == '\n' || byte == '\r';
    aLine += breaksLine ? ' ' : byte;
  }
  aLine += '"';
}

/** Limit for lines that are queued while standard output is read slowly. */
constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

void WriteToStandardOutput(const std::string& aLines) {
  std::size_t written = 0;
  while (written < aLines.size()) {
    const ssize_t size =
        write(STDOUT_FILENO, aLines.data() + written, aLines.size() - written);
    if (size <= 0) {
      // Standard output is closed, and there is nowhere else to report that.
      return;
    }
    written += static_cast<std::size_t>(size);
  }
}

LogQueue& Queue() {
  static LogQueue sQueue(WriteToStandardOutput, kMaxQueuedBytes);
  return sQueue;
}

void Write(LogLevel aLevel, LogPriority aPriority, std::string_view aEvent,
           std::initializer_list<LogField> aFields) {
  if (aLevel < sLevel.load()) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  std::string line;
  fmt::format_to(std::back_inserter(line),
                 "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} ",
                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                 kLevelNames.at(static_cast<std::size_t>(aLevel)));
  line += "event=";
  AppendValue(line, aEvent);
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.mKey;
    line += '=';
    AppendValue(line, field.mValue);
  }
  line += '\n';
  Queue().Push(line, aPriority);
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view aName) {
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames.at(index) == aName) {
      return static_cast<LogLevel>(index);
    }
  }
  return std::nullopt;
}

void SetLogLevel(LogLevel aLevel) { sLevel = aLevel; }

void Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields) {
  const bool routine = aLevel == LogLevel::Debug;
  Write(aLevel, routine ? LogPriority::Routine : LogPriority::Important, aEvent,
        aFields);
}

void LogRoutine(std::string_view aEvent,
                std::initializer_list<LogField> aFields) {
  Write(LogLevel::Info, LogPriority::Routine, aEvent, aFields);
}

}  // namespace papayawheel
