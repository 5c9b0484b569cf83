#include "Retry.h"

#include "Admission.h"

#include <algorithm>

namespace bilberry {

static constexpr int maxAttempts = 4;
static constexpr int maxStaleChoices = 4;
static constexpr Milliseconds initialRetryBackoff { 10 };
static constexpr Milliseconds maxRetryBackoff { 500 };
// Longest wait of one request for an endpoint, and the age of a gap from which on none waits.
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

// Whether the endpoint refused for its state: its back end was spared, and so would be that of another.
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
    bool isBounded = isStale ? report.counts.staleChoices < maxStaleChoices : report.counts.attempts < maxAttempts;
    bool isPossible = isBounded && !report.hasSentBytesToCaller && report.timeLeft > Milliseconds(0);
    if (!isPossible)
        return RetryDecision::GiveUp;
    if (mayRetryElsewhere(report.refusal))
        return isStale ? RetryDecision::RetryImmediately : RetryDecision::RetryAfterBackoff;
    bool isUnknown = report.refusal.outcome == Outcome::Unknown;
    return isUnknown && report.isRepeatable ? RetryDecision::RetryAfterBackoff : RetryDecision::GiveUp;
}

Milliseconds computeRetryBackoff(int attempts, uint64_t random)
{
    auto bound = std::min(maxRetryBackoff, initialRetryBackoff * (1 << std::min(attempts - 1, 10)));
    return Milliseconds(static_cast<int64_t>(random % static_cast<uint64_t>(bound.count() + 1)));
}

Milliseconds computeMaxQueueWait(bool hasRoom, Milliseconds timeLeft)
{
    if (hasRoom)
        return defaultQueueWait;
    return std::clamp(timeLeft / 4, defaultQueueWait, maxQueueWait);
}

bool mayWaitForEndpoint(const EndpointOutage& gap)
{
    bool isForLoad = gap.lastRefusal.reason != RefusalReason::NoEndpoint && !isStaleChoice(gap.lastRefusal.reason);
    bool isShort = gap.timeSinceAvailable < maxOutageDuration && gap.timeWaited < maxTotalEndpointWait;
    return !isForLoad && isShort && gap.timeLeft > Milliseconds(0);
}

} // namespace bilberry
