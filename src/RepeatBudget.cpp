#include "RepeatBudget.h"

#include <cassert>
#include <numeric>

namespace bilberry {

// Share of the bounds that is used: requests that are on their way when a window ends count at the endpoint a little later.
static constexpr double usedShare = 0.8;

// Empties the parts that have become too old.
static void advance(RepeatCounts& counts, const RepeatBounds& bounds, TimePoint now)
{
    auto partTime = std::chrono::duration_cast<Duration>(bounds.window) / static_cast<int64_t>(RepeatCounts::partCount);
    int64_t part = now.time_since_epoch() / partTime;
    if (part - counts.currentPart >= static_cast<int64_t>(RepeatCounts::partCount))
        counts.currentPart = part - static_cast<int64_t>(RepeatCounts::partCount);
    while (counts.currentPart < part) {
        ++counts.currentPart;
        size_t index = static_cast<size_t>(counts.currentPart) % RepeatCounts::partCount;
        counts.requests[index] = 0;
        counts.repeats[index] = 0;
    }
}

void countRequest(RepeatCounts& counts, const RepeatBounds& bounds, TimePoint now)
{
    advance(counts, bounds, now);
    ++counts.requests[static_cast<size_t>(counts.currentPart) % RepeatCounts::partCount];
}

bool takeRepeat(RepeatCounts& counts, const RepeatBounds& bounds, uint32_t entries, TimePoint now)
{
    assert(entries > 0);
    advance(counts, bounds, now);
    double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    double repeats = std::accumulate(counts.repeats.begin(), counts.repeats.end(), 0.0);
    double allowed = usedShare * (bounds.ratio * requests + bounds.extra / entries);
    if (repeats + 1 > allowed)
        return false;
    ++counts.repeats[static_cast<size_t>(counts.currentPart) % RepeatCounts::partCount];
    return true;
}

} // namespace bilberry
