/// How fast a batching engine answers, by the performance that its service states and its work time (see WorkRate.h): the time to
/// the first event of a request, and how many requests it can run while their events still come in time. Pure functions without
/// I/O, for loads near the capacity of the engines and engines that are slow for a while.
#pragma once

#include "EntryConfiguration.h"
#include "Types.h"

#include <cstdint>

namespace bilberry {

/// Expected time of one pass of an engine that works at its usual speed, with `running` requests: it writes one event of each, and
/// prefills the prompts of those that join in that time. Thread safe.
FractionalMilliseconds passTime(const EnginePerformance&, double running);
/// Expected time to the first event of a request for which the engine has a free slot, beside `running` others. Thread safe.
FractionalMilliseconds timeToFirstEvent(const EnginePerformance&, uint32_t promptTokens, double running, double workTime);
/// Largest number of requests that the engine can run while their events come within `maxEventGap`; at least 1, at most its slots.
/// Zero stands for no limit of the gap. Thread safe.
double requestsKeepingPace(const EnginePerformance&, Milliseconds maxEventGap, double workTime);

} // namespace bilberry
