/// Limits how many requests of a service are retried at another endpoint, so that retries don't multiply the load when
/// endpoints fail. In any sliding window, a share of the service's requests and a fixed number may be retried. The limit holds
/// for all entries together, so each entry takes its part of the fixed number.
#pragma once

#include "Types.h"

#include <array>

namespace bilberry {

/// Limits for all entries together.
struct RetryWindowLimits {
    double ratio = 0.2; ///< Share of the service's requests that may be retried.
    double fixedRetries = 0; ///< Number of retries in each window that are allowed beyond that share.
    Milliseconds window { 10'000 };
};

/// Requests and retries of one service at one entry, counted in equal buckets of the window.
struct RetryWindow {
    static constexpr size_t bucketCount = 20;
    std::array<uint32_t, bucketCount> requests {};
    std::array<uint32_t, bucketCount> retries {};
    /// When the first request was counted. What an earlier process on this VM retried isn't known, so only a part of the fixed
    /// number is used until a whole window has passed.
    TimePoint countingSince {};
    int64_t currentBucket = 0; ///< Number of the newest bucket, counted from the clock's epoch.
};

/// Counts one request of a caller. A window is used by one thread at a time.
void countRequest(RetryWindow&, const RetryWindowLimits&, TimePoint now);
/// Counts one retry and returns true if the limits allow it. `entryCount` is the number of entries that share the fixed
/// number. A window is used by one thread at a time. Precondition: entryCount > 0.
bool tryTakeRetry(RetryWindow&, const RetryWindowLimits&, uint32_t entryCount, TimePoint now);

} // namespace bilberry
