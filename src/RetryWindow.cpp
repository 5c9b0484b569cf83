#include "RetryWindow.h"

#include <cassert>
#include <numeric>

namespace bilberry {

// Share of the bounds that is used: requests that are on their way when a window ends count at the endpoint a little later.
static constexpr double usableShare = 0.8;

// Empties the parts that have become too old.
static void clearExpiredBuckets(RetryWindow& counts, const RetryWindowLimits& bounds, TimePoint now)
{
    auto partTime = std::chrono::duration_cast<Duration>(bounds.window) / static_cast<int64_t>(RetryWindow::bucketCount);
    int64_t part = now.time_since_epoch() / partTime;
    if (part - counts.currentBucket >= static_cast<int64_t>(RetryWindow::bucketCount))
        counts.currentBucket = part - static_cast<int64_t>(RetryWindow::bucketCount);
    while (counts.currentBucket < part) {
        ++counts.currentBucket;
        size_t index = static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount;
        counts.requests[index] = 0;
        counts.retries[index] = 0;
    }
}

void countRequest(RetryWindow& counts, const RetryWindowLimits& bounds, TimePoint now)
{
    clearExpiredBuckets(counts, bounds, now);
    ++counts.requests[static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount];
}

bool tryTakeRetry(RetryWindow& counts, const RetryWindowLimits& bounds, uint32_t entries, TimePoint now)
{
    assert(entries > 0);
    clearExpiredBuckets(counts, bounds, now);
    double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    double repeats = std::accumulate(counts.retries.begin(), counts.retries.end(), 0.0);
    double allowed = usableShare * (bounds.ratio * requests + bounds.fixedRetries / entries);
    if (repeats + 1 > allowed)
        return false;
    ++counts.retries[static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount];
    return true;
}

} // namespace bilberry
