/// What the log lines of several processes say of one request, as an account that a person can read.
#pragma once

#include "Types.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberry {

/// One line of a process's log.
struct LogLine {
    Milliseconds time { 0 }; ///< Unix time at the process.
    std::string vm;
    std::string event;
    nlohmann::json fields; ///< The whole line.
};

/// Lines that were read, the earliest first.
struct LogLines {
    std::vector<LogLine> lines;
    size_t unreadableCount = 0; ///< Lines that are no log lines.
};

/// Reads JSON lines to the end of the input; what stands before the first brace of a line, such as a collector's prefix, is left out.
LogLines readLogLines(std::istream&);

/// The account of a request; empty when no line bears its id. It holds the request's own lines, and what happened meanwhile
/// to its endpoints and to what its entries knew. Thread safe.
std::string formatRequestTimeline(const LogLines&, const std::string& request);

} // namespace bilberry
