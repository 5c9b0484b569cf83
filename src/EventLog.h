/// Structured log of a process: one JSON object a line on standard output, written by a thread of its own, so that the loop
/// never waits for the reader.
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

/// One field of a line.
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

/// All methods are thread safe.
class EventLog {
public:
    /// Lines beyond `linesPerSecond` are dropped and counted, warnings and errors last.
    EventLog(std::string_view process, int linesPerSecond);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(LogLevel, std::string_view event, std::initializer_list<LogField>);
    /// Writes what is queued, as long as the reader takes it; nothing can be written after it.
    void close();
    /// Lines that were dropped so far.
    uint64_t droppedLines() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace bilberry
