#include "KeyTable.h"

namespace bilberry {

KeyDecision KeyTable::begin(const std::string& key, const std::string& attempt, TimePoint now, KeyedAnswer& answer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(key);
    if (found == this->rows.end()) {
        if (this->rows.size() >= this->maxKeys)
            return KeyDecision::TableFull;
        this->rows[key] = { KeyState::Running, {}, {}, now };
        return KeyDecision::Run;
    }
    Row& row = found->second;
    switch (row.state) {
    case KeyState::Fenced:
        // Only the attempt that was given up is refused; a later one of the same key may run.
        if (row.fencedAttempt == attempt)
            return KeyDecision::Fenced;
        row = { KeyState::Running, {}, {}, now };
        return KeyDecision::Run;
    case KeyState::Finished:
        answer = row.answer;
        return KeyDecision::AnswerAgain;
    case KeyState::Running:
        return KeyDecision::InProgress;
    case KeyState::Lost:
    case KeyState::Unseen:
        break;
    }
    return KeyDecision::OutcomeUnknown;
}

void KeyTable::withdraw(const std::string& key)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->rows.erase(key);
}

void KeyTable::finish(const std::string& key, KeyedAnswer answer, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->rows[key] = { KeyState::Finished, {}, std::move(answer), now };
}

void KeyTable::markLost(const std::string& key, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->rows[key] = { KeyState::Lost, {}, {}, now };
}

KeyState KeyTable::queryAndFence(const std::string& key, const std::string& attempt, TimePoint now, KeyedAnswer& answer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(key);
    if (found == this->rows.end()) {
        this->rows[key] = { KeyState::Fenced, attempt, {}, now };
        return KeyState::Unseen;
    }
    if (found->second.state == KeyState::Finished)
        answer = found->second.answer;
    return found->second.state;
}

void KeyTable::expire(TimePoint now, Duration lifetime)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (auto position = this->rows.begin(); position != this->rows.end();) {
        bool hasEnded = position->second.state != KeyState::Running;
        bool isOld = hasEnded && now - position->second.changedAt > lifetime;
        position = isOld ? this->rows.erase(position) : std::next(position);
    }
}

size_t KeyTable::size() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->rows.size();
}

} // namespace bilberry
