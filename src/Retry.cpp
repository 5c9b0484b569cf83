#include "Retry.h"

#include "Admission.h"

#include <algorithm>

namespace bilberry {

static constexpr int maxAttempts = 4;
static constexpr int maxStaleChoices = 4;
static constexpr Milliseconds initialRetryBackoff { 10 };
static constexpr Milliseconds maxRetryBackoff { 500 };
// Maximum total wait of one request for an endpoint, and the duration of an outage from which on no request waits.
static constexpr Milliseconds maxTotalEndpointWait { 3000 };
static constexpr Milliseconds maxOutageDuration { 5000 };

void addRetryTokens(RetryBudget& budget, double share)
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + share);
}

bool takeRetryToken(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

void creditRetryBudgets(RetryBudgets& budgets, double share)
{
    addRetryTokens(budgets.refusalBudget, share);
    addRetryTokens(budgets.lostReplyBudget, 1);
}

bool chargeRetryBudget(RetryBudgets& budgets, const Refusal& refusal)
{
    return takeRetryToken(refusal.outcome == Outcome::Unknown ? budgets.lostReplyBudget : budgets.refusalBudget);
}

// Whether the endpoint refused because of its state. Such a refusal puts no load on a back end, so an immediate
// retry at another endpoint does no harm even if that one refuses for the same reason.
static bool isStaleChoice(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoConfiguration:
    case RefusalReason::DataCentreOut:
    case RefusalReason::Leaving:
    case RefusalReason::VersionNotReady:
    case RefusalReason::ConnectFailed:
        return true;
    default:
        return false;
    }
}

void countAttempt(AttemptCounts& counts, const Refusal& refusal)
{
    ++(isStaleChoice(refusal.reason) ? counts.staleChoices : counts.attempts);
}

RetryDecision decideRetry(const AttemptReport& report)
{
    bool isStale = isStaleChoice(report.refusal.reason);
    bool hasAttemptsLeft = isStale ? report.counts.staleChoices < maxStaleChoices : report.counts.attempts < maxAttempts;
    bool isPossible = hasAttemptsLeft && !report.hasSentBytesToCaller && report.timeLeft > Milliseconds(0);
    if (!isPossible)
        return RetryDecision::GiveUp;
    if (mayRetryElsewhere(report.refusal))
        return isStale ? RetryDecision::RetryImmediately : RetryDecision::RetryAfterBackoff;
    bool mayHaveRun = report.refusal.outcome == Outcome::Unknown;
    return mayHaveRun && report.isRepeatable ? RetryDecision::RetryAfterBackoff : RetryDecision::GiveUp;
}

Milliseconds computeRetryBackoff(int attempts, uint64_t random)
{
    auto bound = std::min(maxRetryBackoff, initialRetryBackoff * (1 << std::min(attempts - 1, 10)));
    return Milliseconds(static_cast<int64_t>(random % static_cast<uint64_t>(bound.count() + 1)));
}

Milliseconds computeMaxQueueWait(bool hasCapacity, Milliseconds timeLeft)
{
    if (hasCapacity)
        return defaultQueueWait;
    return std::clamp(timeLeft / 4, defaultQueueWait, maxRequestedQueueWait);
}

bool mayWaitForEndpoint(const EndpointWaitState& outage)
{
    bool isOtherRefusal = outage.lastRefusal.reason != RefusalReason::NoEndpoint && !isStaleChoice(outage.lastRefusal.reason);
    bool isWithinLimits = outage.timeSinceAvailable < maxOutageDuration && outage.timeWaited < maxTotalEndpointWait;
    return !isOtherRefusal && isWithinLimits && outage.timeLeft > Milliseconds(0);
}

} // namespace bilberry
