/// Structured log of a process: one JSON object per line on standard output. A separate thread writes the lines, so that the
/// event loop never blocks on a slow reader of the log.
#pragma once

#include "Log.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace bilberry {

/// Name and value of one field of a log line. Refers to the text it is made from, which has to outlive the field.
struct LogField {
    LogField(std::string_view name, std::string_view text);
    LogField(std::string_view name, const char* text);
    LogField(std::string_view name, const std::string& text);
    LogField(std::string_view name, double number);
    LogField(std::string_view name, bool flag);
    LogField(std::string_view name, int64_t number);
    LogField(std::string_view name, uint64_t number);
    LogField(std::string_view name, int number);
    LogField(std::string_view name, uint32_t number);
    LogField(std::string_view name, std::chrono::milliseconds);

    std::string_view name;
    std::variant<std::string_view, double, bool, int64_t, uint64_t> value;
};

/// Rate-limited log with a bounded queue. All methods are thread safe.
class EventLog {
public:
    /// `process` is the VM's name in each line. Lines beyond `linesPerSecond` are dropped and counted; warnings and errors
    /// have a higher limit, so that they are dropped last.
    EventLog(std::string_view process, int linesPerSecond);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /// Queues one line, or drops it if the rate limit is reached or the queue is full.
    void write(LogLevel, std::string_view event, std::initializer_list<LogField>);
    /// Flushes the queued lines, but waits for the reader for a bounded time only. Lines that are written afterwards are
    /// lost.
    void close();
    /// Number of lines dropped since the start.
    uint64_t droppedLines() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace bilberry
