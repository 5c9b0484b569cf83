#include "Log.h"

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace bilberry {

static const char* levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

void writeLog(LogLevel level, std::string_view event, std::string_view fields)
{
    auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z level={} event={} {}\n", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), levelName(level), event, fields);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace bilberry
