/// The keys of unrepeatable requests that this endpoint's process has seen: each runs at most once.
#pragma once

#include "Types.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace bilberry {

/// Answer of a finished request, kept for its caller's re-sends.
struct KeyedAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class KeyState : uint8_t {
    Unseen, ///< Never here; fenced now when that was asked.
    Running,
    Finished,
    Fenced, ///< Given up before it arrived; it will not run.
    Lost, ///< It was sent to the back end and its outcome is unknown.
};

/// What begin() decided.
enum class KeyDecision : uint8_t {
    Run,
    AnswerAgain, ///< It finished; the stored answer is given.
    InProgress,
    Fenced,
    OutcomeUnknown,
    TableFull,
};

/// Thread safe.
class KeyTable {
public:
    explicit KeyTable(size_t maxKeys)
        : maxKeys(maxKeys)
    {
    }

    /// Records the key before its request is forwarded. On AnswerAgain, `answer` is filled.
    KeyDecision begin(const std::string& key, const std::string& attempt, TimePoint now, KeyedAnswer& answer);
    /// Takes the key back: its request was not forwarded after all.
    void withdraw(const std::string& key);
    /// Stores the outcome of a forwarded request.
    void finish(const std::string& key, KeyedAnswer, TimePoint now);
    /// The back end's answer was lost.
    void markLost(const std::string& key, TimePoint now);
    /// What is known of the key; an unseen key's attempt is refused from now on. On Finished, `answer` is filled.
    KeyState queryAndFence(const std::string& key, const std::string& attempt, TimePoint now, KeyedAnswer& answer);
    /// Drops keys that ended longer ago than `lifetime`.
    void expire(TimePoint now, Duration lifetime);
    size_t size() const;

private:
    struct Row {
        KeyState state = KeyState::Running;
        std::string fencedAttempt;
        KeyedAnswer answer;
        TimePoint changedAt;
    };

    const size_t maxKeys;
    mutable std::mutex mutex;
    std::unordered_map<std::string, Row> rows;
};

} // namespace bilberry
