#include "RetryWindow.h"

#include <cassert>
#include <numeric>

namespace bilberry {

// Share of the limits that is used. The rest is a margin for requests that are in flight when a window ends, because the
// endpoint counts them a little later.
static constexpr double usableShare = 0.8;

// Clears the buckets that have left the window.
static void clearExpiredBuckets(RetryWindow& counts, const RetryWindowLimits& limits, TimePoint now)
{
    auto bucketLength = std::chrono::duration_cast<Duration>(limits.window) / static_cast<int64_t>(RetryWindow::bucketCount);
    int64_t bucket = now.time_since_epoch() / bucketLength;
    if (bucket - counts.currentBucket >= static_cast<int64_t>(RetryWindow::bucketCount))
        counts.currentBucket = bucket - static_cast<int64_t>(RetryWindow::bucketCount);
    while (counts.currentBucket < bucket) {
        ++counts.currentBucket;
        size_t index = static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount;
        counts.requests[index] = 0;
        counts.retries[index] = 0;
    }
}

void countRequest(RetryWindow& counts, const RetryWindowLimits& limits, TimePoint now)
{
    clearExpiredBuckets(counts, limits, now);
    ++counts.requests[static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount];
}

bool tryTakeRetry(RetryWindow& counts, const RetryWindowLimits& limits, uint32_t entries, TimePoint now)
{
    assert(entries > 0);
    clearExpiredBuckets(counts, limits, now);
    double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    double retries = std::accumulate(counts.retries.begin(), counts.retries.end(), 0.0);
    double allowed = usableShare * (limits.ratio * requests + limits.fixedRetries / entries);
    if (retries + 1 > allowed)
        return false;
    ++counts.retries[static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount];
    return true;
}

} // namespace bilberry
