/// When a stopping entry takes requests, sends them to endpoints, answers those that are left, and exits. All functions are pure.
#pragma once

#include "Types.h"

namespace bilberry {

/// Retry-After delay for a request that a stopping entry doesn't run. It is short because the retry reaches another entry.
inline constexpr Milliseconds stoppingRetryAfter { 50 };

/// The default is that of an entry that isn't stopping.
struct StopSchedule {
    TimePoint takesRequestsUntil = TimePoint::max(); ///< New requests are refused from then on.
    TimePoint answersDueAt = TimePoint::max(); ///< Each request that isn't answered by then gets a final answer.
    TimePoint exitAt = TimePoint::max(); ///< Until then, answers are written; what is open then is closed.
};

/// Returns the times of a stop that is requested at `requestedAt`. The process ends within `gracePeriod` of it. Thread safe.
StopSchedule makeStopSchedule(TimePoint requestedAt, Milliseconds gracePeriod);

/// Whether an attempt that is sent to an endpoint now has time to be answered: as long as its caller waits, or as the route's
/// requests are meant to last. Thread safe.
bool canAttemptEnd(const StopSchedule&, TimePoint deadline, Milliseconds targetLatency, TimePoint now);

} // namespace bilberry
