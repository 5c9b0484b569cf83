#include "RefusalHistory.h"

#include <algorithm>

namespace bilberry {

// Refused requests that don't come back within that time are forgotten.
static constexpr Milliseconds retentionTime { 5000 };
// Requests held at a time.
static constexpr size_t maxRows = 50'000;

void RefusalHistory::addRefusal(uint64_t fingerprint, TimePoint firstAt, TimePoint now)
{
    if (this->rows.size() >= maxRows && this->rows.count(fingerprint) == 0)
        return;
    auto& row = this->rows.try_emplace(fingerprint, Row { firstAt, now }).first->second;
    row.firstArrivedAt = std::min(row.firstArrivedAt, firstAt);
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

std::vector<RefusedRequest> refusalsSince(const RefusalHistory& ledger, TimePoint since, size_t most, TimePoint now)
{
    std::vector<RefusedRequest> refusals;
    for (const auto& [fingerprint, row] : ledger.rows) {
        if (row.refusedAt >= since && refusals.size() < most)
            refusals.push_back({ fingerprint, std::chrono::duration_cast<Milliseconds>(now - row.firstArrivedAt) });
    }
    return refusals;
}

} // namespace bilberry
