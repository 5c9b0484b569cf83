/// Structured log on standard error: one line of `key=value` pairs per event.
/// Only changes of state are logged; events that repeat are counted in metrics instead (Metrics.h).
#pragma once

#include <fmt/format.h>
#include <string_view>

namespace bilberry {

enum class LogLevel : uint8_t { Info,
    Warning,
    Error };

/// Writes one line with a wall-clock timestamp. Thread safe; lines are never interleaved.
void writeLog(LogLevel, std::string_view event, std::string_view fields);

/// Formats the fields (`"generation={} source={}"`) and writes the line. Thread safe.
template <typename... Arguments>
void logEvent(LogLevel level, std::string_view event, fmt::format_string<Arguments...> format, Arguments&&... arguments)
{
    writeLog(level, event, fmt::format(format, std::forward<Arguments>(arguments)...));
}

} // namespace bilberry
