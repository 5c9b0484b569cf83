#include "RefusalHistory.h"

#include <algorithm>

namespace bilberry {

// Refused requests that don't come back within this time are removed.
static constexpr Milliseconds retentionTime { 5000 };
// Largest number of requests that are held at a time.
static constexpr size_t maxRows = 50'000;

void RefusalHistory::addRefusal(uint64_t fingerprint, TimePoint firstArrivedAt, TimePoint now)
{
    if (this->rows.size() >= maxRows && this->rows.count(fingerprint) == 0)
        return;
    auto& row = this->rows.try_emplace(fingerprint, Row { firstArrivedAt, now }).first->second;
    row.firstArrivedAt = std::min(row.firstArrivedAt, firstArrivedAt);
    row.refusedAt = std::max(row.refusedAt, now);
}

TimePoint RefusalHistory::firstArrival(uint64_t fingerprint, TimePoint now) const
{
    auto found = this->rows.find(fingerprint);
    bool isKnown = found != this->rows.end() && now - found->second.refusedAt < retentionTime;
    return isKnown ? std::min(found->second.firstArrivedAt, now) : now;
}

void RefusalHistory::removeExpired(TimePoint now)
{
    for (auto row = this->rows.begin(); row != this->rows.end();)
        row = now - row->second.refusedAt >= retentionTime ? this->rows.erase(row) : std::next(row);
}

std::vector<RefusedRequest> refusalsSince(const RefusalHistory& history, TimePoint since, size_t maxCount, TimePoint now)
{
    std::vector<RefusedRequest> refusals;
    for (const auto& [fingerprint, row] : history.rows) {
        if (row.refusedAt >= since && refusals.size() < maxCount)
            refusals.push_back({ fingerprint, std::chrono::duration_cast<Milliseconds>(now - row.firstArrivedAt) });
    }
    return refusals;
}

} // namespace bilberry
