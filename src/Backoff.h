/// Exponential backoff with jitter between calls to the configuration service, so that the call rate stays bounded while the
/// service fails.
#pragma once

#include "Types.h"

namespace bilberry {

struct Backoff {
    Milliseconds initialBound { 500 };
    Milliseconds maxBound { 10'000 };
    int consecutiveFailures = 0; ///< Failures since the last success.
};

/// Counts one more failure and returns the delay: random between a tenth of a bound and the bound, which doubles with each
/// failure. `random` is uniform. A backoff is used by one thread at a time.
Milliseconds nextBackoffDelay(Backoff&, uint64_t random);
/// Resets the backoff after a success.
void resetBackoff(Backoff&);

} // namespace bilberry
