/// Retry policy of an entry: whether and when another endpoint is tried after an attempt that got no answer. Budgets keep
/// retries from multiplying the load while endpoints are overloaded or fail. The functions do no I/O and take no locks.
#pragma once

#include "Refusal.h"
#include "Types.h"

namespace bilberry {

/// Token bucket that limits retries to a share of the requests: each request adds tokens, each retry takes one. A budget is
/// used by one thread at a time.
struct RetryBudget {
    double tokens = 10;
    double maxTokens = 10;
};

/// Adds the tokens for one request. `share` is between 0 and 1.
void addRetryTokens(RetryBudget&, double share);
/// Takes the token for one retry; returns false when none is left.
bool takeRetryToken(RetryBudget&);

/// Maximum burst of retries after lost replies; half of the connections that an entry serves at a time by default.
constexpr double maxLostReplyTokens = 128;

/// Retry budgets of one service at one entry. A lost reply shows that an endpoint or a link has failed, not that there is
/// too much load, and such a failure hits all requests in flight there at once. Lost replies therefore have a separate
/// budget: refusals for load can't use it up, and lost replies can't use up the budget for refusals.
struct RetryBudgets {
    RetryBudget refusalBudget;
    RetryBudget lostReplyBudget { maxLostReplyTokens, maxLostReplyTokens };
};

/// Credits one request: `share` tokens, between 0 and 1, to the budget for refusals, and one token to that for lost replies.
void creditRetryBudgets(RetryBudgets&, double share);
/// Takes the token for one retry after that refusal; returns false when none is left.
bool chargeRetryBudget(RetryBudgets&, const Refusal&);

/// Attempts that one request has made so far. The two kinds are counted separately, so that endpoints that refuse because
/// of their state don't use up the attempts of a request that none of them has processed.
struct AttemptCounts {
    int attempts = 0; ///< Attempts that may have run, or were refused for load.
    int staleChoices = 0; ///< Attempts refused because of the endpoint's state, which the entry's routing table didn't show yet.
};

/// Counts an attempt that ended with that refusal. Not thread safe for the same counts.
void countAttempt(AttemptCounts&, const Refusal&);

/// State of a request after one attempt.
struct AttemptReport {
    Refusal refusal;
    bool isRepeatable = true; ///< Whether a second run does no harm.
    bool hasSentBytesToCaller = false;
    AttemptCounts counts; ///< Attempts made, including this one.
    Milliseconds timeLeft { 0 };
};

enum class RetryDecision : uint8_t {
    RetryImmediately, ///< Retries without backoff and without a token: the endpoint refused because of its state, not its load.
    RetryAfterBackoff, ///< Retries after a backoff if the budget allows it.
    GiveUp,
};

/// Decides whether another endpoint is tried; the calling code checks the budget. Both counts are bounded, and the refusing
/// endpoint is avoided from then on, so that only the first few requests get such a refusal. Thread safe.
RetryDecision decideRetry(const AttemptReport&);

/// Backoff before the next attempt, with full jitter: uniform up to a bound that doubles with each attempt. `random` is
/// uniform. Precondition: attempts > 0.
Milliseconds computeRetryBackoff(int attempts, uint64_t random);

/// Maximum time that an attempt may wait in an endpoint's queue. It is short when the endpoint was expected to have
/// capacity, since others may have some then. When no endpoint is known to have capacity, another queue is no better, and
/// the maximum is up to a quarter of the time left. Thread safe.
Milliseconds computeMaxQueueWait(bool hasCapacity, Milliseconds timeLeft);

/// State of a request for which no endpoint is left to try.
struct EndpointWaitState {
    Refusal lastRefusal; ///< Refusal of the last attempt; NoEndpoint when there was none.
    Duration timeSinceAvailable { 0 }; ///< Time since an endpoint in service was known to serve the target.
    Duration timeWaited { 0 }; ///< Time that this request has waited for an endpoint.
    Milliseconds timeLeft { 0 };
};

/// Whether the request may wait for an endpoint to become available instead of being refused: only for a short time, after
/// refusals that are not due to load, and while the outage itself is short. Thread safe.
bool mayWaitForEndpoint(const EndpointWaitState&);

} // namespace bilberry
