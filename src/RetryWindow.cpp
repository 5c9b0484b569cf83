#include "RetryWindow.h"

#include <cassert>
#include <numeric>

namespace bilberry {

// Share of the limits that is used. The rest is a margin for requests that are in flight when a window ends, because the
// endpoint counts them a little later.
static constexpr double usableShare = 0.8;

// Clears the buckets that have left the window.
static void clearExpiredBuckets(RetryWindow& window, const RetryWindowLimits& limits, TimePoint now)
{
    auto bucketLength = std::chrono::duration_cast<Duration>(limits.window) / static_cast<int64_t>(RetryWindow::bucketCount);
    int64_t bucket = now.time_since_epoch() / bucketLength;
    if (bucket - window.currentBucket >= static_cast<int64_t>(RetryWindow::bucketCount))
        window.currentBucket = bucket - static_cast<int64_t>(RetryWindow::bucketCount);
    while (window.currentBucket < bucket) {
        ++window.currentBucket;
        size_t index = static_cast<size_t>(window.currentBucket) % RetryWindow::bucketCount;
        window.requests[index] = 0;
        window.retries[index] = 0;
    }
}

void countRequest(RetryWindow& window, const RetryWindowLimits& limits, TimePoint now)
{
    clearExpiredBuckets(window, limits, now);
    ++window.requests[static_cast<size_t>(window.currentBucket) % RetryWindow::bucketCount];
}

bool tryTakeRetry(RetryWindow& window, const RetryWindowLimits& limits, uint32_t entries, TimePoint now)
{
    assert(entries > 0);
    clearExpiredBuckets(window, limits, now);
    double requests = std::accumulate(window.requests.begin(), window.requests.end(), 0.0);
    double retries = std::accumulate(window.retries.begin(), window.retries.end(), 0.0);
    double allowed = usableShare * (limits.ratio * requests + limits.fixedRetries / entries);
    if (retries + 1 > allowed)
        return false;
    ++window.retries[static_cast<size_t>(window.currentBucket) % RetryWindow::bucketCount];
    return true;
}

} // namespace bilberry
