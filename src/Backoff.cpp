#include "Backoff.h"

#include <algorithm>

namespace bilberry {

// Maximum number of doublings. It prevents an overflow of the shift and is more than any bound needs.
static constexpr int maxDoublings = 16;

Milliseconds nextBackoffDelay(Backoff& backoff, uint64_t random)
{
    int doublings = std::min(backoff.consecutiveFailures, maxDoublings);
    backoff.consecutiveFailures = std::min(backoff.consecutiveFailures + 1, maxDoublings);
    auto bound = std::min<int64_t>(backoff.initialBound.count() << doublings, backoff.maxBound.count());
    auto least = bound / 10;
    return Milliseconds(least + static_cast<int64_t>(random % static_cast<uint64_t>(bound - least + 1)));
}

void resetBackoff(Backoff& backoff)
{
    backoff.consecutiveFailures = 0;
}

} // namespace bilberry
