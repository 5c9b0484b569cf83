#include "ServedConnections.h"

#include <sys/socket.h>

namespace bilberry {

// Interval at which a waiting thread looks whether others are to be given up.
static constexpr Milliseconds waitInterval { 50 };

ServedConnections::ServedConnections(const RequestMemoryLimits& limits)
{
    this->memory.limits = limits;
}

uint64_t ServedConnections::add(int socket, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto number = addHolding(this->memory, address, this, Clock::now()).number;
    this->connections[number].socket = socket;
    return number;
}

void ServedConnections::remove(uint64_t number)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    removeHolding(this->memory, number);
    this->connections.erase(number);
    this->changed.notify_all();
}

void ServedConnections::setHeld(uint64_t number, HoldingPhase phase, size_t bytes)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    setHolding(this->memory, this->memory.holdings.at(number), phase, bytes, Clock::now());
    this->changed.notify_all();
}

// The socket's end wakes the thread that reads from it. One that reads a body still answers.
void ServedConnections::giveUp(uint64_t number)
{
    auto& served = this->connections.at(number);
    if (served.isGivenUp)
        return;
    served.isGivenUp = true;
    bool canAnswer = this->memory.holdings.at(number).phase == HoldingPhase::ReadingBody;
    ::shutdown(served.socket, canAnswer ? SHUT_RD : SHUT_RDWR);
}

bool ServedConnections::waitToHoldBody(uint64_t number, size_t bytes)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    auto& holding = this->memory.holdings.at(number);
    const auto& own = this->connections.at(number);
    while (!own.isGivenUp && !mayHold(this->memory, holding, bytes)) {
        waitToHold(this->memory, holding, bytes, Clock::now());
        for (uint64_t chosen : chooseToGiveUp(this->memory, Clock::now()))
            this->giveUp(chosen);
        this->changed.wait_for(lock, waitInterval);
    }
    if (!own.isGivenUp)
        setHolding(this->memory, holding, HoldingPhase::ReadingBody, bytes, Clock::now());
    return !own.isGivenUp;
}

bool ServedConnections::isGivenUp(uint64_t number) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->connections.at(number).isGivenUp;
}

void ServedConnections::makeRoom()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (auto chosen = chooseToClose(this->memory, this, Clock::now()))
        this->giveUp(*chosen);
}

} // namespace bilberry
