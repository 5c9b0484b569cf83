/// The part of the table that hands the rows of key slots over to another process and takes them over.

#include "KeyTable.h"

#include <algorithm>

namespace bilberry {

void KeyTable::closeTenure(const ClosedTenure& closed)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    uint64_t& latest = this->closedTenures[closed.slot];
    latest = std::max(latest, closed.tenure);
}

static std::array<bool, keySlotCount> markSlots(const std::vector<uint32_t>& slots)
{
    std::array<bool, keySlotCount> marks {};
    for (uint32_t slot : slots)
        marks[slot] = true;
    return marks;
}

size_t KeyTable::countRunning(const std::vector<uint32_t>& slots) const
{
    auto isNamed = markSlots(slots);
    std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<size_t>(std::count_if(this->rows.begin(), this->rows.end(), [&](const auto& entry) {
        return entry.second.state == KeyState::Running && isNamed[entry.second.slot];
    }));
}

std::map<uint32_t, std::vector<KeyRecord>> KeyTable::exportSlots(const std::vector<uint32_t>& slots, size_t keys, size_t answerBytes) const
{
    auto isNamed = markSlots(slots);
    std::array<size_t, keySlotCount> usedBytes {};
    std::map<uint32_t, std::vector<KeyRecord>> exported;
    for (uint32_t slot : slots)
        exported[slot];
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [key, row] : this->rows) {
        bool wasDispatched = row.state == KeyState::Running || row.state == KeyState::Finished || row.state == KeyState::Lost;
        if (!isNamed[row.slot] || !wasDispatched)
            continue;
        KeyRecord record { key, row.requestHash, std::nullopt };
        if (row.state == KeyState::Finished) {
            size_t bytes = row.answer.body.size() + row.answer.contentType.size();
            size_t& used = usedBytes[row.slot];
            bool fits = used + bytes <= answerBytes;
            used += fits ? bytes : 0;
            record.answer = fits ? row.answer : KeyedAnswer { 0, {}, {}, false };
        }
        exported[row.slot].push_back(std::move(record));
    }
    for (auto position = exported.begin(); position != exported.end();)
        position = position->second.size() > keys ? exported.erase(position) : std::next(position);
    return exported;
}

bool KeyTable::importRows(uint32_t slot, const std::vector<KeyRecord>& records, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->rows.size() + records.size() > this->limits.keys)
        return false;
    for (const auto& record : records) {
        Row& row = this->rows[record.key];
        // What this process dispatched itself, it knows better; a finished row is final.
        bool isOwnRun = row.state == KeyState::Running || row.state == KeyState::Finished;
        if (isOwnRun || (row.state == KeyState::Lost && !record.answer))
            continue;
        row.slot = slot;
        row.requestHash = record.requestHash;
        row.attempt.clear();
        if (record.answer) {
            this->keepAnswer(row, *record.answer, now);
            continue;
        }
        row.state = KeyState::Lost;
        row.changedAt = now;
    }
    return true;
}

} // namespace bilberry
