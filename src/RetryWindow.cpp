#include "RetryWindow.h"

#include <cassert>
#include <numeric>

namespace bilberry {

// Share of the limits that is used. The rest is a margin: an endpoint may count a request that is in flight when a window
// ends a little later than the entry, and so in the next window.
static constexpr double usableShare = 0.8;
// Part of the fixed number that is used in the first window of a process. If each process of the fleet is restarted after it
// has used its whole part, all together still stay within the limit.
static constexpr double firstWindowPart = (1 - usableShare) / usableShare;

// Tolerance for rounding errors in the limits.
static constexpr double roundingTolerance = 1e-6;

// Clears the buckets that have left the window.
static void clearExpiredBuckets(RetryWindow& counts, const RetryWindowLimits& limits, TimePoint now)
{
    if (counts.countingSince == TimePoint())
        counts.countingSince = now;
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

bool tryTakeRetry(RetryWindow& counts, const RetryWindowLimits& limits, uint32_t entryCount, TimePoint now)
{
    assert(entryCount > 0);
    clearExpiredBuckets(counts, limits, now);
    double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    double retries = std::accumulate(counts.retries.begin(), counts.retries.end(), 0.0);
    bool isFirstWindow = now - counts.countingSince < limits.window;
    double fixedRetries = (isFirstWindow ? firstWindowPart : 1) * limits.fixedRetries / entryCount;
    double allowed = usableShare * (limits.ratio * requests + fixedRetries);
    if (retries + 1 > allowed + roundingTolerance)
        return false;
    ++counts.retries[static_cast<size_t>(counts.currentBucket) % RetryWindow::bucketCount];
    return true;
}

} // namespace bilberry
