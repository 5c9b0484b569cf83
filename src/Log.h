/// Structured log lines on standard error, one line an event, `key=value` pairs.
/// Lines are written for changes of state only; everything that repeats is a counter (Metrics.h).
#pragma once

#include <fmt/format.h>
#include <string_view>

namespace bilberry {

enum class LogLevel : uint8_t { Info,
    Warning,
    Error };

/// Writes one line with a wall-clock time stamp. Thread safe; a line is never interleaved with another.
void writeLog(LogLevel, std::string_view event, std::string_view fields);

/// Formats the fields (`"generation={} source={}"`) and writes the line. Thread safe.
template <typename... Arguments>
void logEvent(LogLevel level, std::string_view event, fmt::format_string<Arguments...> format, Arguments&&... arguments)
{
    writeLog(level, event, fmt::format(format, std::forward<Arguments>(arguments)...));
}

} // namespace bilberry
