#include "Backoff.h"

#include <algorithm>

namespace bilberry {

// More doublings than any bound needs.
static constexpr int maxDoublings = 16;

Milliseconds nextWait(Backoff& backoff, uint64_t random)
{
    int doublings = std::min(backoff.failures, maxDoublings);
    backoff.failures = std::min(backoff.failures + 1, maxDoublings);
    auto bound = std::min<int64_t>(backoff.first.count() << doublings, backoff.most.count());
    auto least = bound / 10;
    return Milliseconds(least + static_cast<int64_t>(random % static_cast<uint64_t>(bound - least + 1)));
}

void reset(Backoff& backoff)
{
    backoff.failures = 0;
}

} // namespace bilberry
