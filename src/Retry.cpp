#include "Retry.h"

#include "Admission.h"

#include <algorithm>

namespace bilberry {

static constexpr int maxAttempts = 4;
static constexpr int maxStaleChoices = 4;
static constexpr Milliseconds firstBackOff { 10 };
static constexpr Milliseconds largestBackOff { 500 };
// Longest wait of one request for an endpoint, and the age of a gap from which on none waits.
static constexpr Milliseconds longestEndpointWait { 3000 };
static constexpr Milliseconds longestGap { 5000 };

void addToBudget(RetryBudget& budget, double share)
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + share);
}

bool takeFromBudget(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

void addRequest(RetryBudgets& budgets, double share)
{
    addToBudget(budgets.refused, share);
    addToBudget(budgets.lost, 1);
}

bool takeRetry(RetryBudgets& budgets, const Refusal& refusal)
{
    return takeFromBudget(refusal.outcome == Outcome::Unknown ? budgets.lost : budgets.refused);
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
    bool isBounded = isStale ? report.made.staleChoices < maxStaleChoices : report.made.attempts < maxAttempts;
    bool isPossible = isBounded && !report.bytesReachedCaller && report.timeLeft > Milliseconds(0);
    if (!isPossible)
        return RetryDecision::GiveUp;
    if (mayGoElsewhere(report.refusal))
        return isStale ? RetryDecision::TryAtOnce : RetryDecision::TryAnother;
    bool isUnknown = report.refusal.outcome == Outcome::Unknown;
    return isUnknown && report.mayRepeat ? RetryDecision::TryAnother : RetryDecision::GiveUp;
}

Milliseconds backOff(int attempts, uint64_t random)
{
    auto bound = std::min(largestBackOff, firstBackOff * (1 << std::min(attempts - 1, 10)));
    return Milliseconds(static_cast<int64_t>(random % static_cast<uint64_t>(bound.count() + 1)));
}

Milliseconds queueWait(bool hasRoom, Milliseconds timeLeft)
{
    if (hasRoom)
        return defaultQueueWait;
    return std::clamp(timeLeft / 4, defaultQueueWait, longestQueueWait);
}

bool mayAwaitEndpoint(const EndpointGap& gap)
{
    bool isForLoad = gap.last.reason != RefusalReason::NoEndpoint && !isStaleChoice(gap.last.reason);
    bool isShort = gap.sinceServed < longestGap && gap.waited < longestEndpointWait;
    return !isForLoad && isShort && gap.timeLeft > Milliseconds(0);
}

} // namespace bilberry
