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
void addRetryTokens(RetryBudget&, double share);
/// Takes one retry out; false when there is none left.
bool takeRetryToken(RetryBudget&);

/// Retries after lost replies that may come at once: for half of the connections that an entry takes by default.
constexpr double maxLostReplyTokens = 128;

/// The budgets of one service at one entry. A lost reply shows that an endpoint or a link has failed, not that there is too
/// much load, and takes with it all requests that were there. So those have a budget of their own, which refusals for load
/// can't use up, and the other way round.
struct RetryBudgets {
    RetryBudget refusalBudget;
    RetryBudget lostReplyBudget { maxLostReplyTokens, maxLostReplyTokens };
};

/// Adds one request: `share` to the budget of refusals, between 0 and 1, and one retry to that of lost replies.
void creditRetryBudgets(RetryBudgets&, double share);
/// Takes one retry after that refusal out; false when there is none left.
bool chargeRetryBudget(RetryBudgets&, const Refusal&);

/// What one request has cost so far. Counted apart, so that endpoints that refuse for their state don't use up the
/// attempts of a request that none of them has looked at.
struct AttemptCounts {
    int attempts = 0; ///< That may have run, or were refused for load.
    int staleChoices = 0; ///< Refused for the endpoint's state.
};

/// Adds an attempt that ended with that refusal. Thread safe.
void countAttempt(AttemptCounts&, const Refusal&);

/// What is known after one attempt.
struct AttemptReport {
    Refusal refusal;
    bool isRepeatable = true; ///< Whether a second run does no harm.
    bool hasSentBytesToCaller = false;
    AttemptCounts counts; ///< With this attempt.
    Milliseconds timeLeft { 0 };
};

enum class RetryDecision : uint8_t {
    RetryImmediately, ///< The endpoint's state refused, not its load: the choice was stale. No wait, and no part of the budget.
    RetryAfterBackoff, ///< After a wait, when the budget allows it.
    GiveUp,
};

/// Decides whether another endpoint is tried; the budget is asked separately. Both counts are bounded, and
/// the refusing endpoint is avoided from then on, so that stale choices end with the first few requests. Thread safe.
RetryDecision decideRetry(const AttemptReport&);

/// Wait before the next attempt: full jitter, up to a bound that doubles with each attempt. `random` is uniform.
/// Precondition: attempts > 0.
Milliseconds computeRetryBackoff(int attempts, uint64_t random);

/// Longest time that an attempt may wait in an endpoint's queue. Short when that endpoint was thought to have room: others
/// may have it then. Without room anywhere a queue elsewhere is no better, and it is up to a quarter of the time left. Thread
/// safe.
Milliseconds computeMaxQueueWait(bool hasRoom, Milliseconds timeLeft);

/// What is known when no endpoint is left to be tried.
struct EndpointOutage {
    Refusal lastRefusal; ///< Of the last attempt; NoEndpoint when there was none.
    Duration timeSinceAvailable { 0 }; ///< Since an endpoint in service was known to serve the target.
    Duration timeWaited { 0 }; ///< By this request, for an endpoint.
    Milliseconds timeLeft { 0 };
};

/// Whether the request waits for an endpoint to be heard of rather than be refused: only for a short time, after
/// refusals that say nothing of load, and while the gap itself is a short one. Thread safe.
bool mayWaitForEndpoint(const EndpointOutage&);

} // namespace bilberry
