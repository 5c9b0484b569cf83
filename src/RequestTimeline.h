/// Joins the log lines of several processes into the timeline of one request, for an operator who asks why the request was
/// refused, slow or cut off.
#pragma once

#include "Types.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberry {

/// One line of the log of a process.
struct LogLine {
    Milliseconds time { 0 }; ///< Unix time by the clock of the process.
    std::string vm; ///< The VM of the process.
    std::string event;
    nlohmann::json fields; ///< All fields of the line.
};

/// Log lines sorted by time, the earliest first.
struct LogLines {
    std::vector<LogLine> lines;
    size_t unreadableCount = 0; ///< Nonempty input lines that are not log lines.
};

/// Reads JSON lines to the end of the input. Text before the first brace of a line, such as the prefix of a log collector, is
/// ignored.
LogLines readLogLines(std::istream&);

/// Formats the timeline of a request: its own lines, and the events shortly before and during it that concern its endpoints or
/// the cluster view of its entries. Times are relative to the start of the request. The result is empty when no line has the
/// request's id. Thread safe.
std::string formatRequestTimeline(const LogLines&, const std::string& request);

} // namespace bilberry
