#include "ConnectionMemory.h"

#include "ServerConnection.h"

#include <algorithm>
#include <utility>

namespace bilberry {

// Interval at which waiting connections are looked after.
static constexpr Milliseconds reliefInterval { 50 };
// Least time between two looks, which go over all connections.
static constexpr Milliseconds minReliefInterval { 2 };

std::string_view toText(CutOffCause cause)
{
    switch (cause) {
    case CutOffCause::Memory:
        return "memory";
    case CutOffCause::Connections:
        return "connections";
    case CutOffCause::NoRoom:
        return "no_room";
    case CutOffCause::Trailers:
        return "trailers";
    }
    return "memory";
}

ConnectionMemory::ConnectionMemory(EventLoop& loop)
    : loop(loop)
    , timer(loop)
{
}

void ConnectionMemory::setLimits(const RequestMemoryLimits& limits)
{
    this->memory.limits = limits;
    if (this->memory.bytes > limits.maxBytes || this->memory.waiting > 0)
        this->scheduleRelief(Milliseconds(0));
}

void ConnectionMemory::onCutOff(CutOffHandler cutOffHandler)
{
    this->handler = std::move(cutOffHandler);
}

Holding& ConnectionMemory::add(ServerConnection& connection, const std::string& address, const void* server)
{
    auto& holding = addHolding(this->memory, address, server, Clock::now());
    this->connections.emplace(holding.number, &connection);
    return holding;
}

void ConnectionMemory::remove(uint64_t number)
{
    removeHolding(this->memory, number);
    this->connections.erase(number);
    if (this->memory.waiting > 0)
        this->scheduleRelief(Milliseconds(0));
}

void ConnectionMemory::setHeld(Holding& holding, HoldingPhase phase, size_t bytes)
{
    bool isLess = bytes < holding.bytes;
    setHolding(this->memory, holding, phase, bytes, phase == holding.phase ? holding.since : Clock::now());
    bool mayLetGoOn = isLess && this->memory.waiting > 0;
    if (mayLetGoOn || this->memory.bytes > this->memory.limits.maxBytes)
        this->scheduleRelief(Milliseconds(0));
}

bool ConnectionMemory::mayHold(Holding& holding, size_t bytes)
{
    if (bilberry::mayHold(this->memory, holding, bytes))
        return true;
    waitToHold(this->memory, holding, bytes, Clock::now());
    this->scheduleRelief(reliefInterval);
    return false;
}

bool ConnectionMemory::makeRoomForConnection(const void* server)
{
    auto chosen = chooseToClose(this->memory, server, Clock::now());
    if (!chosen)
        return false;
    this->noteCutOff(CutOffCause::Connections);
    this->connections.at(*chosen)->giveUp();
    return true;
}

void ConnectionMemory::noteCutOff(CutOffCause cause)
{
    if (this->handler)
        this->handler(cause, this->memory.bytes);
}

// Relief runs from the loop, never within a call of a connection, which it may close.
void ConnectionMemory::scheduleRelief(Milliseconds delay)
{
    auto at = std::max(Clock::now() + delay, this->relievedAt + minReliefInterval);
    if (this->isReliefScheduled && this->timer.expiry() <= at)
        return;
    this->isReliefScheduled = true;
    this->timer.expires_at(at);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        auto self = weak.lock();
        if (!self || !hasFired(self->timer, error))
            return;
        self->isReliefScheduled = false;
        self->relieve();
    });
}

void ConnectionMemory::relieve()
{
    this->relievedAt = Clock::now();
    for (uint64_t number : chooseToGiveUp(this->memory, Clock::now())) {
        auto found = this->connections.find(number);
        if (found == this->connections.end())
            continue;
        this->noteCutOff(CutOffCause::Memory);
        found->second->giveUp();
    }
    // Each one that goes on holds more at once, so that the next one is chosen after it.
    for (auto next = nextToGoOn(this->memory); next; next = nextToGoOn(this->memory)) {
        stopWaiting(this->memory, this->memory.holdings.at(*next));
        this->connections.at(*next)->resumeAfterWait();
    }
    if (this->memory.waiting > 0)
        this->scheduleRelief(reliefInterval);
}

} // namespace bilberry
