#include "StopSchedule.h"

#include <algorithm>

namespace bilberry {

// Time after the request to stop for which the load balancer may still send new callers.
static constexpr Milliseconds loadBalancerUpdateTime { 2600 };
// Fractions of the grace period.
static constexpr double answerFraction = 0.88;
static constexpr double exitFraction = 0.93;

static Milliseconds partOf(Milliseconds period, double fraction)
{
    return Milliseconds(static_cast<int64_t>(fraction * static_cast<double>(period.count())));
}

StopSchedule makeStopSchedule(TimePoint requestedAt, Milliseconds gracePeriod)
{
    StopSchedule schedule;
    schedule.answersDueAt = requestedAt + partOf(gracePeriod, answerFraction);
    schedule.takesRequestsUntil = std::min(requestedAt + loadBalancerUpdateTime, schedule.answersDueAt);
    schedule.exitAt = requestedAt + partOf(gracePeriod, exitFraction);
    return schedule;
}

bool canAttemptEnd(const StopSchedule& schedule, TimePoint deadline, Milliseconds targetLatency, TimePoint now)
{
    return now < schedule.answersDueAt && std::min(deadline, now + targetLatency) <= schedule.answersDueAt;
}

} // namespace bilberry
