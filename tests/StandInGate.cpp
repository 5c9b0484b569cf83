#include "StandInGate.h"
#include "StandInServer.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

constexpr Milliseconds closedCheckInterval { 20 };

bool isColdLocked(const Gate& gate)
{
    return switchValue(gate.controls, "cold", false) || Clock::now() < gate.coldUntil;
}

bool isOverColdLimit(const Gate& gate)
{
    const int present = gate.running + static_cast<int>(gate.waiting.size());
    return isColdLocked(gate) && present >= switchValue(gate.controls, "cold_slots", 1);
}

bool hasSlot(const Gate& gate)
{
    const int slots = switchValue(gate.controls, "slots", 0);
    return slots <= 0 || gate.running < slots;
}

void removeTicket(Gate& gate, uint64_t ticket)
{
    gate.waiting.erase(std::find(gate.waiting.begin(), gate.waiting.end(), ticket));
    gate.freed.notify_all();
}

} // namespace

Admission enterGate(Gate& gate, int connection)
{
    std::unique_lock lock(gate.mutex);
    if (isOverColdLimit(gate)) {
        addCount(gate.controls, "over_cold_limit");
        return Admission::OverColdLimit;
    }
    const uint64_t ticket = gate.nextTicket++;
    gate.waiting.push_back(ticket);
    while (gate.waiting.front() != ticket || !hasSlot(gate)) {
        gate.freed.wait_for(lock, closedCheckInterval);
        if (!waitUnlessClosed(connection, Clock::now())) {
            removeTicket(gate, ticket);
            return Admission::Closed;
        }
    }
    ++gate.running;
    addCount(gate.controls, "running");
    removeTicket(gate, ticket);
    return Admission::Admitted;
}

void leaveGate(Gate& gate)
{
    const std::lock_guard lock(gate.mutex);
    --gate.running;
    addCount(gate.controls, "running", -1);
    gate.freed.notify_all();
}

void startColdPeriod(Gate& gate, Duration period)
{
    const std::lock_guard lock(gate.mutex);
    gate.coldUntil = Clock::now() + period;
}

bool isCold(Gate& gate)
{
    const std::lock_guard lock(gate.mutex);
    return isColdLocked(gate);
}

size_t waitingCount(Gate& gate)
{
    const std::lock_guard lock(gate.mutex);
    return gate.waiting.size();
}

} // namespace bilberry::standin
