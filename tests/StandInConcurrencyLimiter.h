/// Limits the number of requests that a stand-in runs concurrently, while it is warm and while it is cold.
#pragma once

#include "StandInControls.h"
#include <condition_variable>
#include <deque>
#include <mutex>

namespace bilberry::standin {

enum class AdmissionResult { Admitted,
    OverColdLimit, ///< The stand-in is cold and already has as many requests as it accepts while cold.
    ConnectionClosed }; ///< The caller closed the connection while the request waited.

/// A first-come, first-served limiter. It reads the switches `slots` (0 is unlimited), `cold` and `cold_slots`.
struct ConcurrencyLimiter {
    Controls& controls;
    std::mutex mutex;
    std::condition_variable slotFreed;
    std::deque<uint64_t> waiting; ///< The tickets of waiting requests in order of arrival.
    uint64_t nextTicket = 0;
    int running = 0;
    TimePoint coldUntil {}; ///< When the latest cold period ends.
};

/// Waits for a free slot. While the stand-in is cold, it refuses requests over the limit `cold_slots` at once. Thread safe.
AdmissionResult acquireSlot(ConcurrencyLimiter&, int connection);

/// Releases the slot of an admitted request. Thread safe.
void releaseSlot(ConcurrencyLimiter&);

/// Starts a cold period of the given length now. Thread safe.
void startColdPeriod(ConcurrencyLimiter&, Duration);

/// Returns whether the stand-in is cold now. Thread safe.
bool isCold(ConcurrencyLimiter&);

/// Returns the number of requests that wait for a slot. Thread safe.
size_t waitingCount(ConcurrencyLimiter&);

} // namespace bilberry::standin
