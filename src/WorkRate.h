/// What is known of an endpoint's speed of work from its own statements. Endpoints share their VMs with other work, which makes
/// some of them up to a few times as slow for some tenths of a second: under load, requests that were sent there then miss their
/// target latency, while other endpoints have room. A statement therefore counts for tenths of a second only. Pure functions
/// without I/O.
#pragma once

#include "Types.h"

#include <cstdint>

namespace bilberry {

/// Bounds of a statement, as a percentage of the usual time. Others are no sensible ones.
constexpr uint32_t minWorkTimePercent = 10;
constexpr uint32_t maxWorkTimePercent = 10'000;

/// Used by one thread at a time. Work times are multiples of the usual time that work takes at the endpoint.
struct WorkRate {
    double newest = 1; ///< The work time of the newest statement.
    double mean = 1; ///< The mean over the recent statements, in which newer ones weigh more.
    TimePoint statedAt {}; ///< When the newest statement was made; the default value if none was.
    bool isToBeReported = false; ///< Whether the newest statement was made to this entry, and the other entries haven't been told.
};

/// Records a statement that was made at `statedAt`. One that is older than the newest, or out of bounds, changes nothing. Returns
/// whether it changed anything.
bool noteWorkTime(WorkRate&, uint32_t percent, TimePoint statedAt);
/// Whether the endpoint has stated its work time lately enough to be used. `isAwaited` tells, here and below, whether the answer to a
/// request that was sent since then hasn't begun: the statement then holds longer, so that an endpoint that was slow gets one request
/// and not many at once when the statement has grown old. Thread safe.
bool isWorkTimeKnown(const WorkRate&, bool isAwaited, TimePoint now);
/// Expected work time over the next second, for decisions on how many requests an endpoint takes; 1 if nothing is known. Thread
/// safe.
double meanWorkTime(const WorkRate&, bool isAwaited, TimePoint now);
/// Expected work time of a request that is sent at `now`; 1 if nothing is known. Thread safe.
double currentWorkTime(const WorkRate&, bool isAwaited, TimePoint now);

} // namespace bilberry
