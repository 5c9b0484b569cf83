/// How many requests of a service may be sent to another endpoint: a share of the requests for it, and a fixed number, in any
/// span of a sliding window. The bound holds for all entries together, so each takes its part of the fixed number.
#pragma once

#include "Types.h"

#include <array>

namespace bilberry {

/// Bounds for all entries together.
struct RetryWindowLimits {
    double ratio = 0.2; ///< Of the requests for the service.
    double fixedRetries = 0; ///< Beyond that.
    Milliseconds window { 10'000 };
};

/// Requests and repeats of one service at one entry, counted in equal parts of the window.
struct RetryWindow {
    static constexpr size_t bucketCount = 20;
    std::array<uint32_t, bucketCount> requests {};
    std::array<uint32_t, bucketCount> retries {};
    int64_t currentBucket = 0; ///< Number of the newest part since the clock's start.
};

/// Counts one request of a caller.
void countRequest(RetryWindow&, const RetryWindowLimits&, TimePoint now);
/// Counts one repeat, if the bounds allow it; `entries` is the number of entries that share the fixed number. Precondition:
/// entries > 0.
bool tryTakeRetry(RetryWindow&, const RetryWindowLimits&, uint32_t entries, TimePoint now);

} // namespace bilberry
