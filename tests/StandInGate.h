/// Limits how many requests a stand-in runs at a time, warm and cold.
#pragma once

#include "StandInControls.h"
#include <condition_variable>
#include <deque>
#include <mutex>

namespace bilberry::standin {

enum class Admission { Admitted,
    OverColdLimit,
    Closed };

/// Uses the switches `slots` (0 is unlimited), `cold` and `cold_slots`.
struct Gate {
    Controls& controls;
    std::mutex mutex;
    std::condition_variable freed;
    std::deque<uint64_t> waiting; ///< Tickets in order of arrival.
    uint64_t nextTicket = 0;
    int running = 0;
    TimePoint coldUntil {};
};

/// Waits for a slot; while cold, refuses what is over the limit instead. Thread safe.
Admission enterGate(Gate&, int connection);

/// Gives back the slot of an admitted request. Thread safe.
void leaveGate(Gate&);

/// Starts a cold period from now on. Thread safe.
void startColdPeriod(Gate&, Duration);

/// Whether the stand-in is cold now. Thread safe.
bool isCold(Gate&);

/// Number of requests that wait for a slot. Thread safe.
size_t waitingCount(Gate&);

} // namespace bilberry::standin
