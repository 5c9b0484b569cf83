#include "EventLog.h"

#include "Types.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace bilberry {

// Largest number of lines that are queued while the reader is slow.
static constexpr size_t maxQueuedLines = 2000;
// Time for which lines are collected, so that one system call writes several.
static constexpr Milliseconds batchingDelay { 100 };
// Longest wait for the reader when the process ends.
static constexpr Milliseconds maxFinalFlushTime { 200 };
// Warnings and errors are accepted up to this multiple of the rate limit.
static constexpr int warningRateFactor = 2;

LogField::LogField(std::string_view name, std::string_view text)
    : name(name)
    , value(text)
{
}

LogField::LogField(std::string_view name, const char* text)
    : name(name)
    , value(std::string_view(text))
{
}

LogField::LogField(std::string_view name, const std::string& text)
    : name(name)
    , value(std::string_view(text))
{
}

LogField::LogField(std::string_view name, double number)
    : name(name)
    , value(number)
{
}

LogField::LogField(std::string_view name, bool flag)
    : name(name)
    , value(flag)
{
}

LogField::LogField(std::string_view name, int64_t number)
    : name(name)
    , value(number)
{
}

LogField::LogField(std::string_view name, uint64_t number)
    : name(name)
    , value(number)
{
}

LogField::LogField(std::string_view name, int number)
    : name(name)
    , value(static_cast<int64_t>(number))
{
}

LogField::LogField(std::string_view name, uint32_t number)
    : name(name)
    , value(static_cast<uint64_t>(number))
{
}

LogField::LogField(std::string_view name, std::chrono::milliseconds time)
    : name(name)
    , value(static_cast<int64_t>(time.count()))
{
}

struct EventLog::State {
    std::string process;
    int linesPerSecond = 0;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::string> queuedLines;
    bool isStopping = false;
    bool hasStopped = false;
    uint64_t droppedLines = 0;
    uint64_t reportedDroppedLines = 0;
    TimePoint secondStart {};
    int linesThisSecond = 0;
};

static const char* levelName(LogLevel level)
{
    return level == LogLevel::Info ? "info" : level == LogLevel::Warning ? "warning"
                                                                         : "error";
}

static std::string formatLine(const std::string& process, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    auto wall = std::chrono::system_clock::now().time_since_epoch();
    line["time_ms"] = std::chrono::duration_cast<Milliseconds>(wall).count();
    line["level"] = levelName(level);
    line["vm"] = process;
    line["event"] = std::string(event);
    for (const auto& field : fields) {
        std::string name(field.name);
        std::visit([&](const auto& value) { line[name] = value; }, field.value);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

// Writes all bytes to standard output; gives up if it can't be written to any more.
static void writeAll(const std::string& text)
{
    size_t written = 0;
    while (written < text.size()) {
        auto count = ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return;
        written += static_cast<size_t>(count);
    }
}

static void runWriter(const std::shared_ptr<EventLog::State>& state);

EventLog::EventLog(std::string_view process, int linesPerSecond)
    : state(std::make_shared<State>())
{
    this->state->process = std::string(process);
    this->state->linesPerSecond = linesPerSecond;
    std::thread([shared = this->state] { runWriter(shared); }).detach();
}

EventLog::~EventLog()
{
    this->close();
}

void EventLog::close()
{
    std::unique_lock<std::mutex> lock(this->state->mutex);
    this->state->isStopping = true;
    this->state->wake.notify_all();
    this->state->wake.wait_for(lock, maxFinalFlushTime, [this] { return this->state->hasStopped; });
}

static void runWriter(const std::shared_ptr<EventLog::State>& state)
{
    std::unique_lock<std::mutex> lock(state->mutex);
    while (true) {
        state->wake.wait(lock, [&] { return state->isStopping || !state->queuedLines.empty(); });
        if (!state->isStopping)
            state->wake.wait_for(lock, batchingDelay, [&] { return state->isStopping; });
        std::string text;
        for (const auto& line : state->queuedLines)
            text += line;
        state->queuedLines.clear();
        bool isLast = state->isStopping;
        lock.unlock();
        writeAll(text);
        lock.lock();
        if (isLast) {
            state->hasStopped = true;
            state->wake.notify_all();
            return;
        }
    }
}

// Counts one more line against the rate limit; returns false if the limit is reached or the queue is full.
static bool tryReserveLine(EventLog::State& state, LogLevel level, TimePoint now)
{
    if (now - state.secondStart >= Seconds(1)) {
        state.secondStart = now;
        state.linesThisSecond = 0;
    }
    int limit = level == LogLevel::Info ? state.linesPerSecond : state.linesPerSecond * warningRateFactor;
    if (state.linesThisSecond >= limit || state.queuedLines.size() >= maxQueuedLines)
        return false;
    ++state.linesThisSecond;
    return true;
}

void EventLog::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    auto& shared = *this->state;
    {
        std::lock_guard<std::mutex> lock(shared.mutex);
        if (!tryReserveLine(shared, level, Clock::now())) {
            ++shared.droppedLines;
            return;
        }
    }
    auto line = formatLine(shared.process, level, event, fields);
    std::lock_guard<std::mutex> lock(shared.mutex);
    bool wasEmpty = shared.queuedLines.empty();
    if (shared.droppedLines > shared.reportedDroppedLines) {
        shared.queuedLines.push_back(formatLine(shared.process, LogLevel::Warning, "log_lines_dropped", { { "lines", shared.droppedLines - shared.reportedDroppedLines } }));
        shared.reportedDroppedLines = shared.droppedLines;
    }
    shared.queuedLines.push_back(std::move(line));
    if (wasEmpty)
        shared.wake.notify_one();
}

uint64_t EventLog::droppedLines() const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    return this->state->droppedLines;
}

} // namespace bilberry
