/// Waits between calls to the configuration service, so that its call rate holds whatever it answers.
#pragma once

#include "Types.h"

namespace bilberry {

struct Backoff {
    Milliseconds initialBound { 500 };
    Milliseconds maxBound { 10'000 };
    int consecutiveFailures = 0; ///< In a row.
};

/// Notes one more failure and gives the wait: a random share of a bound that doubles with each. `random` is any
/// number. Never less than a tenth of the bound.
Milliseconds nextBackoffDelay(Backoff&, uint64_t random);
/// Notes a success.
void resetBackoff(Backoff&);

} // namespace bilberry
