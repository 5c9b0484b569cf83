/// The keys of unrepeatable requests that this endpoint's process has seen: each runs at most once.
#pragma once

#include "Types.h"

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Answer of a finished request, kept for its caller's re-sends.
struct KeyedAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    bool isKept = true; ///< False when the answer was too large to keep; status and body are then empty.
};

enum class KeyState : uint8_t {
    Unseen, ///< Never here, and it could not be fenced.
    Recorded, ///< Taken, not yet sent to the back end.
    Running, ///< Sent to the back end.
    Finished,
    Fenced, ///< The attempts that were asked for will not run.
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
    NotVouched, ///< Not seen here, but it may have run elsewhere.
    OtherRequest, ///< The key was used for another request.
};

/// One submission of a key.
struct KeyedAttempt {
    std::string key; ///< Scoped, see makeScopedKey().
    std::string attempt;
    uint64_t requestHash = 0; ///< Of method, path and body; zero when not known.
};

/// Bounds of a table.
struct KeyTableLimits {
    size_t keys = 100'000;
    size_t answerBytes = size_t(32) << 20; ///< Of all kept answers.
    size_t oneAnswerBytes = size_t(64) << 10;
};

/// Nothing is ever forgotten early: a full table refuses new keys, and keeps outcomes without their answers once
/// the answers' bytes are used up. Thread safe.
class KeyTable {
public:
    explicit KeyTable(KeyTableLimits limits)
        : limits(limits)
    {
    }

    /// Records the key before its request is forwarded. `isVouched` says that an unseen key ran nowhere. On
    /// AnswerAgain, `answer` is filled.
    KeyDecision begin(const KeyedAttempt&, bool isVouched, TimePoint now, KeyedAnswer& answer);
    /// Marks a recorded key as sent. False when it was fenced meanwhile: it must not be sent.
    bool markDispatched(const KeyedAttempt&, TimePoint now);
    /// Takes a recorded key back: its request was not forwarded after all. Fences stay.
    void withdraw(const KeyedAttempt&, TimePoint now);
    /// Stores the outcome of a forwarded request. Precondition: it was dispatched.
    void finish(const std::string& key, KeyedAnswer, TimePoint now);
    /// The back end's answer was lost. Precondition: it was dispatched.
    void markLost(const std::string& key, TimePoint now);
    /// What is known of the key. The attempt of a key that was not sent is refused from now on (Fenced). On Finished,
    /// `answer` is filled.
    KeyState queryAndFence(const KeyedAttempt&, TimePoint now, KeyedAnswer& answer);
    /// Drops keys that ended longer ago than `lifetime`.
    void expire(TimePoint now, Duration lifetime);
    size_t size() const;
    /// Bytes of the kept answers.
    size_t answerBytes() const;

private:
    struct Row {
        KeyState state = KeyState::Recorded;
        uint64_t requestHash = 0;
        std::string attempt; ///< The one that is recorded.
        std::vector<std::string> fencedAttempts;
        KeyedAnswer answer;
        TimePoint changedAt;
    };

    KeyDecision record(Row&, const KeyedAttempt&, TimePoint now);

    const KeyTableLimits limits;
    mutable std::mutex mutex;
    std::unordered_map<std::string, Row> rows;
    size_t keptBytes = 0;
};

} // namespace bilberry
