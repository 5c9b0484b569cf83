/// What an entry does after an attempt that brought no answer. Pure decisions.
#pragma once

#include "Refusal.h"
#include "Types.h"

namespace bilberry {

/// Share of requests that may be retried, as a token bucket: requests fill it, retries empty it.
struct RetryBudget {
    double tokens = 10;
    double maxTokens = 10;
};

/// Adds a request's share. `share` is between 0 and 1.
void addToBudget(RetryBudget&, double share);
/// Takes one retry out; false when there is none left.
bool takeFromBudget(RetryBudget&);

/// What is known after one attempt.
struct AttemptReport {
    Refusal refusal;
    bool mayRepeat = true; ///< Whether a second run does no harm.
    bool bytesReachedCaller = false;
    int attempts = 1; ///< Made so far.
    Milliseconds timeLeft { 0 };
};

enum class RetryDecision : uint8_t {
    TryAtOnce, ///< The endpoint's state refused, not its load: the choice was stale. No wait, and no part of the budget.
    TryAnother, ///< After a wait, when the budget allows it.
    GiveUp,
};

/// Decides whether another endpoint is tried; the budget is asked separately. Attempts are bounded in either case, and
/// the refusing endpoint is avoided from then on, so that stale choices end with the first few requests. Thread safe.
RetryDecision decideRetry(const AttemptReport&);

/// Wait before the next attempt: full jitter, up to a bound that doubles with each attempt. `random` is uniform.
Milliseconds backOff(int attempts, uint64_t random);

} // namespace bilberry
