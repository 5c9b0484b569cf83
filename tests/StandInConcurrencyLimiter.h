/// Limits how many requests a stand-in runs at a time, warm and cold.
#pragma once

#include "StandInControls.h"
#include <condition_variable>
#include <deque>
#include <mutex>

namespace bilberry::standin {

enum class AdmissionResult { Admitted,
    OverColdLimit,
    ConnectionClosed };

/// Uses the switches `slots` (0 is unlimited), `cold` and `cold_slots`.
struct ConcurrencyLimiter {
    Controls& controls;
    std::mutex mutex;
    std::condition_variable slotFreed;
    std::deque<uint64_t> waiting; ///< Tickets in order of arrival.
    uint64_t nextTicket = 0;
    int running = 0;
    TimePoint coldUntil {};
};

/// Waits for a slot; while cold, refuses what is over the limit instead. Thread safe.
AdmissionResult acquireSlot(ConcurrencyLimiter&, int connection);

/// Gives back the slot of an admitted request. Thread safe.
void releaseSlot(ConcurrencyLimiter&);

/// Starts a cold period from now on. Thread safe.
void startColdPeriod(ConcurrencyLimiter&, Duration);

/// Whether the stand-in is cold now. Thread safe.
bool isCold(ConcurrencyLimiter&);

/// Number of requests that wait for a slot. Thread safe.
size_t waitingCount(ConcurrencyLimiter&);

} // namespace bilberry::standin
