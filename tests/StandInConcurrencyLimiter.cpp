#include "StandInConcurrencyLimiter.h"
#include "StandInServer.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

constexpr Milliseconds closedCheckInterval { 20 };

bool isColdLocked(const ConcurrencyLimiter& gate)
{
    return switchValue(gate.controls, "cold", false) || Clock::now() < gate.coldUntil;
}

bool isOverColdLimit(const ConcurrencyLimiter& gate)
{
    const int present = gate.running + static_cast<int>(gate.waiting.size());
    return isColdLocked(gate) && present >= switchValue(gate.controls, "cold_slots", 1);
}

bool hasSlot(const ConcurrencyLimiter& gate)
{
    const int slots = switchValue(gate.controls, "slots", 0);
    return slots <= 0 || gate.running < slots;
}

void removeWaitingTicket(ConcurrencyLimiter& gate, uint64_t ticket)
{
    gate.waiting.erase(std::find(gate.waiting.begin(), gate.waiting.end(), ticket));
    gate.slotFreed.notify_all();
}

} // namespace

AdmissionResult acquireSlot(ConcurrencyLimiter& gate, int connection)
{
    std::unique_lock lock(gate.mutex);
    if (isOverColdLimit(gate)) {
        addCount(gate.controls, "over_cold_limit");
        return AdmissionResult::OverColdLimit;
    }
    const uint64_t ticket = gate.nextTicket++;
    gate.waiting.push_back(ticket);
    while (gate.waiting.front() != ticket || !hasSlot(gate)) {
        gate.slotFreed.wait_for(lock, closedCheckInterval);
        if (!waitUnlessClosed(connection, Clock::now())) {
            removeWaitingTicket(gate, ticket);
            return AdmissionResult::ConnectionClosed;
        }
    }
    ++gate.running;
    addCount(gate.controls, "running");
    removeWaitingTicket(gate, ticket);
    return AdmissionResult::Admitted;
}

void releaseSlot(ConcurrencyLimiter& gate)
{
    const std::lock_guard lock(gate.mutex);
    --gate.running;
    addCount(gate.controls, "running", -1);
    gate.slotFreed.notify_all();
}

void startColdPeriod(ConcurrencyLimiter& gate, Duration period)
{
    const std::lock_guard lock(gate.mutex);
    gate.coldUntil = Clock::now() + period;
}

bool isCold(ConcurrencyLimiter& gate)
{
    const std::lock_guard lock(gate.mutex);
    return isColdLocked(gate);
}

size_t waitingCount(ConcurrencyLimiter& gate)
{
    const std::lock_guard lock(gate.mutex);
    return gate.waiting.size();
}

} // namespace bilberry::standin
