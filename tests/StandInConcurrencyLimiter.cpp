#include "StandInConcurrencyLimiter.h"
#include "StandInServer.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

constexpr Milliseconds closedCheckInterval { 20 };

bool isColdLocked(const ConcurrencyLimiter& limiter)
{
    return switchValue(limiter.controls, "cold", false) || Clock::now() < limiter.coldUntil;
}

bool isOverColdLimit(const ConcurrencyLimiter& limiter)
{
    const int requestCount = limiter.running + static_cast<int>(limiter.waiting.size());
    return isColdLocked(limiter) && requestCount >= switchValue(limiter.controls, "cold_slots", 1);
}

bool hasSlot(const ConcurrencyLimiter& limiter)
{
    const int slots = switchValue(limiter.controls, "slots", 0);
    return slots <= 0 || limiter.running < slots;
}

void removeWaitingTicket(ConcurrencyLimiter& limiter, uint64_t ticket)
{
    limiter.waiting.erase(std::find(limiter.waiting.begin(), limiter.waiting.end(), ticket));
    limiter.slotFreed.notify_all();
}

} // namespace

AdmissionResult acquireSlot(ConcurrencyLimiter& limiter, int connection)
{
    std::unique_lock lock(limiter.mutex);
    if (isOverColdLimit(limiter)) {
        addCount(limiter.controls, "over_cold_limit");
        return AdmissionResult::OverColdLimit;
    }
    const uint64_t ticket = limiter.nextTicket++;
    limiter.waiting.push_back(ticket);
    while (limiter.waiting.front() != ticket || !hasSlot(limiter)) {
        limiter.slotFreed.wait_for(lock, closedCheckInterval);
        if (!waitUnlessClosed(connection, Clock::now())) {
            removeWaitingTicket(limiter, ticket);
            return AdmissionResult::ConnectionClosed;
        }
    }
    ++limiter.running;
    addCount(limiter.controls, "running");
    removeWaitingTicket(limiter, ticket);
    return AdmissionResult::Admitted;
}

void releaseSlot(ConcurrencyLimiter& limiter)
{
    const std::lock_guard lock(limiter.mutex);
    --limiter.running;
    addCount(limiter.controls, "running", -1);
    limiter.slotFreed.notify_all();
}

void startColdPeriod(ConcurrencyLimiter& limiter, Duration period)
{
    const std::lock_guard lock(limiter.mutex);
    limiter.coldUntil = Clock::now() + period;
}

bool isCold(ConcurrencyLimiter& limiter)
{
    const std::lock_guard lock(limiter.mutex);
    return isColdLocked(limiter);
}

size_t waitingCount(ConcurrencyLimiter& limiter)
{
    const std::lock_guard lock(limiter.mutex);
    return limiter.waiting.size();
}

} // namespace bilberry::standin
