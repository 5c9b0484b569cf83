#include "EndpointStatement.h"

#include <algorithm>

namespace bilberry {

// Time after its return within which an endpoint comes to get as many requests as before.
static constexpr Milliseconds returnTime { 1000 };
// Delay for a request that was refused because all endpoints leave.
static constexpr Milliseconds allLeavingRetryAfter { 1000 };
// Least range over which the delays of requests that were refused together are spread.
static constexpr Milliseconds minRetrySpread { 300 };

std::string_view toText(SetAsideReason reason)
{
    return reason == SetAsideReason::Leaving ? "leaving" : "retry_after";
}

bool noteRun(EndpointStatement& statement, WallTime startedAt, TimePoint now)
{
    bool isLaterRun = statement.startedAt != WallTime() && startedAt > statement.startedAt;
    bool hasEnded = isLaterRun && isSetAside(statement, now);
    if (isLaterRun)
        statement = EndpointStatement();
    statement.startedAt = std::max(statement.startedAt, startedAt);
    return hasEnded;
}

bool noteLeaving(EndpointStatement& statement)
{
    bool isNew = !statement.isLeaving;
    statement.isLeaving = true;
    return isNew;
}

bool noteRetryAfter(EndpointStatement& statement, Milliseconds retryAfter, TimePoint now)
{
    if (retryAfter <= Milliseconds(0))
        return false;
    bool isNew = now >= statement.noRequestsUntil;
    statement.noRequestsUntil = std::max(statement.noRequestsUntil, now + std::min(retryAfter, maxRetryAfter));
    statement.isEndReported = false;
    return isNew;
}

bool isSetAside(const EndpointStatement& statement, TimePoint now)
{
    return statement.isLeaving || now < statement.noRequestsUntil;
}

double limitAfterReturn(const EndpointStatement& statement, double limit, TimePoint now)
{
    auto sinceReturn = now - statement.noRequestsUntil;
    if (sinceReturn >= returnTime)
        return limit;
    double share = std::chrono::duration<double>(sinceReturn) / returnTime;
    return std::min(limit, std::max(1.0, share * limit));
}

Milliseconds retryAfterSetAside(TimePoint earliestReturn, TimePoint now, uint64_t random)
{
    bool areAllLeaving = earliestReturn == TimePoint::max();
    auto wait = areAllLeaving ? allLeavingRetryAfter : std::chrono::ceil<Milliseconds>(std::max(earliestReturn, now) - now);
    auto spread = std::max(minRetrySpread, wait / 2);
    return wait + spread * static_cast<int64_t>(random % 100) / 100;
}

} // namespace bilberry
