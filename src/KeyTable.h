/// The keys of unrepeatable requests that this endpoint's process has seen: each runs at most once.
#pragma once

#include "KeyOwner.h"
#include "Types.h"

#include <array>
#include <map>
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
    FencedHere, ///< The same, but the key may have run elsewhere.
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
    uint32_t slot = 0;
    uint64_t tenure = 0; ///< Number of the tenure in which this process vouches for the key; zero when it does not.
};

/// Row of a slot that is handed over: a key that was dispatched.
struct KeyRecord {
    std::string key;
    uint64_t requestHash = 0;
    std::optional<KeyedAnswer> answer; ///< None when the outcome is unknown.
};

/// A tenure that is over: nothing is dispatched in it any more, and nothing is said of what was not.
struct ClosedTenure {
    uint32_t slot = 0;
    uint64_t tenure = 0;
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

    /// Records the key before its request is forwarded. An unseen key runs only in the attempt's tenure. On
    /// AnswerAgain, `answer` is filled.
    KeyDecision begin(const KeyedAttempt&, TimePoint now, KeyedAnswer& answer);
    /// Marks a recorded key as sent. False when it was fenced or its tenure closed meanwhile: it must not be sent.
    bool markDispatched(const KeyedAttempt&, TimePoint now);
    /// Takes a recorded key back: its request was not forwarded after all. Fences stay. False when its tenure was
    /// closed meanwhile, so that the key may have run elsewhere.
    bool withdraw(const KeyedAttempt&, TimePoint now);
    /// Stores the outcome of a forwarded request. Precondition: it was dispatched.
    void finish(const std::string& key, KeyedAnswer, TimePoint now);
    /// The back end's answer was lost. Precondition: it was dispatched.
    void markLost(const std::string& key, TimePoint now);
    /// What is known of the key. The attempt of a key that was not sent is refused from now on; Fenced then says that
    /// the key ran nowhere; without an open tenure it is FencedHere. On Finished, `answer` is filled.
    KeyState queryAndFence(const KeyedAttempt&, TimePoint now, KeyedAnswer& answer);
    /// Ends a tenure, and those before it, before its slot is handed over.
    void closeTenure(const ClosedTenure&);
    /// Requests in progress at the back end of keys in these slots.
    size_t countRunning(const std::vector<uint32_t>& slots) const;
    /// The rows of slots whose tenures were closed, by slot. Answers of one slot beyond `answerBytes` are left out; a
    /// slot with more than `keys` rows gets none.
    std::map<uint32_t, std::vector<KeyRecord>> exportSlots(const std::vector<uint32_t>& slots, size_t keys, size_t answerBytes) const;
    /// Takes over rows of a slot. False when there is no room; then none was taken.
    bool importRows(uint32_t slot, const std::vector<KeyRecord>&, TimePoint now);
    /// Drops keys that ended longer ago than `lifetime`.
    void expire(TimePoint now, Duration lifetime);
    size_t size() const;
    /// Bytes of the kept answers.
    size_t answerBytes() const;

private:
    struct Row {
        KeyState state = KeyState::Recorded;
        uint64_t requestHash = 0;
        uint32_t slot = 0;
        std::string attempt; ///< The one that is recorded.
        std::vector<std::string> fencedAttempts;
        KeyedAnswer answer;
        TimePoint changedAt;
    };

    bool isOpen(const KeyedAttempt&) const;
    KeyDecision record(Row&, const KeyedAttempt&, TimePoint now);
    void keepAnswer(Row&, KeyedAnswer, TimePoint now);
    KeyState fence(Row&, const KeyedAttempt&, TimePoint now);

    const KeyTableLimits limits;
    mutable std::mutex mutex;
    std::unordered_map<std::string, Row> rows;
    size_t keptBytes = 0;
    std::array<uint64_t, keySlotCount> closedTenures {}; ///< By slot: the latest tenure that was closed.
};

} // namespace bilberry
