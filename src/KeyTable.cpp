#include "KeyTable.h"

#include <algorithm>

namespace bilberry {

// Fenced attempts that one key remembers.
static constexpr size_t maxFencedAttempts = 16;

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Whether this process may act on the key, and speak for it, in the attempt's tenure.
bool KeyTable::isOpen(const KeyedAttempt& attempt) const
{
    return attempt.tenure > this->closedTenures[attempt.slot];
}

KeyDecision KeyTable::record(Row& row, const KeyedAttempt& attempt, TimePoint now)
{
    row.state = KeyState::Recorded;
    row.requestHash = attempt.requestHash;
    row.slot = attempt.slot;
    row.attempt = attempt.attempt;
    row.changedAt = now;
    return KeyDecision::Run;
}

KeyDecision KeyTable::begin(const KeyedAttempt& attempt, TimePoint now, KeyedAnswer& answer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    bool isVouched = this->isOpen(attempt);
    auto found = this->rows.find(attempt.key);
    if (found == this->rows.end()) {
        if (!isVouched)
            return KeyDecision::NotVouched;
        if (this->rows.size() >= this->limits.keys)
            return KeyDecision::TableFull;
        return this->record(this->rows[attempt.key], attempt, now);
    }
    Row& row = found->second;
    if (row.requestHash != 0 && row.requestHash != attempt.requestHash)
        return KeyDecision::OtherRequest;
    switch (row.state) {
    case KeyState::Fenced:
        // Only the attempts that were given up are refused; a later one of the same key may run.
        if (contains(row.fencedAttempts, attempt.attempt))
            return KeyDecision::Fenced;
        return isVouched ? this->record(row, attempt, now) : KeyDecision::NotVouched;
    case KeyState::Finished:
        answer = row.answer;
        return KeyDecision::AnswerAgain;
    case KeyState::Recorded:
    case KeyState::Running:
        return KeyDecision::InProgress;
    case KeyState::Lost:
    case KeyState::Unseen:
    case KeyState::FencedHere:
        break;
    }
    return KeyDecision::OutcomeUnknown;
}

bool KeyTable::markDispatched(const KeyedAttempt& attempt, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(attempt.key);
    if (found == this->rows.end() || found->second.state != KeyState::Recorded || found->second.attempt != attempt.attempt)
        return false;
    if (!this->isOpen(attempt))
        return false;
    found->second.state = KeyState::Running;
    found->second.changedAt = now;
    return true;
}

bool KeyTable::withdraw(const KeyedAttempt& attempt, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(attempt.key);
    if (found == this->rows.end() || found->second.attempt != attempt.attempt)
        return this->isOpen(attempt);
    Row& row = found->second;
    bool mayTakeBack = row.state == KeyState::Recorded || row.state == KeyState::Running;
    if (!mayTakeBack)
        return this->isOpen(attempt);
    if (row.fencedAttempts.empty()) {
        this->rows.erase(found);
        return this->isOpen(attempt);
    }
    row.state = KeyState::Fenced;
    row.attempt.clear();
    row.changedAt = now;
    return this->isOpen(attempt);
}

void KeyTable::keepAnswer(Row& row, KeyedAnswer answer, TimePoint now)
{
    size_t bytes = answer.body.size() + answer.contentType.size();
    if (bytes > this->limits.oneAnswerBytes || this->keptBytes + bytes > this->limits.answerBytes)
        answer = { 0, {}, {}, false };
    else
        this->keptBytes += bytes;
    row.state = KeyState::Finished;
    row.answer = std::move(answer);
    row.fencedAttempts.clear();
    row.changedAt = now;
}

void KeyTable::finish(const std::string& key, KeyedAnswer answer, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    this->keepAnswer(found->second, std::move(answer), now);
}

void KeyTable::markLost(const std::string& key, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    found->second.state = KeyState::Lost;
    found->second.changedAt = now;
}

KeyState KeyTable::fence(Row& row, const KeyedAttempt& attempt, TimePoint now)
{
    // Step 1. The attempt is refused from now on.
    if (!contains(row.fencedAttempts, attempt.attempt)) {
        if (row.fencedAttempts.size() >= maxFencedAttempts)
            return KeyState::Unseen;
        row.fencedAttempts.push_back(attempt.attempt);
    }
    row.changedAt = now;
    // Step 2. If it is the recorded one, it is taken back before it is sent.
    if (row.state == KeyState::Recorded && row.attempt == attempt.attempt) {
        row.state = KeyState::Fenced;
        row.attempt.clear();
    }
    return row.state;
}

KeyState KeyTable::queryAndFence(const KeyedAttempt& attempt, TimePoint now, KeyedAnswer& answer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(attempt.key);
    if (found == this->rows.end()) {
        if (this->rows.size() >= this->limits.keys)
            return KeyState::Unseen;
        Row fenced;
        fenced.state = KeyState::Fenced;
        fenced.slot = attempt.slot;
        found = this->rows.emplace(attempt.key, std::move(fenced)).first;
    }
    Row& row = found->second;
    if (row.state == KeyState::Finished)
        answer = row.answer;
    bool isWaiting = row.state == KeyState::Fenced || row.state == KeyState::Recorded;
    if (!isWaiting)
        return row.state;
    auto state = this->fence(row, attempt, now);
    return state == KeyState::Fenced && !this->isOpen(attempt) ? KeyState::FencedHere : state;
}

void KeyTable::expire(TimePoint now, Duration lifetime)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (auto position = this->rows.begin(); position != this->rows.end();) {
        const Row& row = position->second;
        bool hasEnded = row.state != KeyState::Running && row.state != KeyState::Recorded;
        if (!hasEnded || now - row.changedAt <= lifetime) {
            ++position;
            continue;
        }
        this->keptBytes -= row.answer.body.size() + row.answer.contentType.size();
        position = this->rows.erase(position);
    }
}

size_t KeyTable::size() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->rows.size();
}

size_t KeyTable::answerBytes() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->keptBytes;
}

} // namespace bilberry
