#include "AdmissionGate.h"

#include <algorithm>

namespace bilberry {

// Queue places per request of the limit, and their bounds.
static constexpr double queuePlacesPerLimit = 4;
static constexpr size_t fewestQueuePlaces = 8;
static constexpr size_t mostQueuePlaces = 64;

size_t maxQueueSize(double limit)
{
    return std::clamp(static_cast<size_t>(limit * queuePlacesPerLimit), fewestQueuePlaces, mostQueuePlaces);
}

void AdmissionGate::setBounds(AdmissionBounds bounds)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    changeBounds(this->admission, bounds);
    this->dispatch(Clock::now());
}

void AdmissionGate::setCold(bool isCold)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    reportCold(this->admission, isCold, Clock::now());
}

GateLoad AdmissionGate::load() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return { this->admission.inProgress, static_cast<uint32_t>(this->queue.size), static_cast<uint32_t>(this->admission.limit) };
}

static Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

RefusalReason AdmissionGate::checkTime(const GateRequest& request, TimePoint now) const
{
    // Faster than the fastest first byte known it will not be.
    if (request.deadline - now <= fromSeconds(this->admission.baseHead))
        return RefusalReason::DeadlineExceeded;
    if (this->admission.inProgress < static_cast<uint32_t>(this->admission.limit))
        return RefusalReason::None;
    auto waitTime = estimateWait(this->admission, countAhead(this->queue, request.priority, request.caller, request.share));
    if (request.deadline - now <= waitTime)
        return RefusalReason::DeadlineExceeded;
    return waitTime > request.maxWait ? RefusalReason::Overloaded : RefusalReason::None;
}

void AdmissionGate::decide(uint64_t ticket, GatePass pass)
{
    Waiter& waiter = *this->waiters.at(ticket);
    waiter.pass = pass;
    waiter.isDecided = true;
    waiter.changed.notify_one();
}

void AdmissionGate::dispatch(TimePoint now)
{
    for (uint64_t ticket : removeLate(this->queue, now))
        this->decide(ticket, { RefusalReason::Overloaded, false });
    while (this->queue.size > 0) {
        auto admitted = tryAdmit(this->admission);
        if (!admitted.isAdmitted)
            return;
        this->decide(takeFromQueue(this->queue)->ticket, { RefusalReason::None, admitted.wasAtLimit });
    }
}

GatePass AdmissionGate::wait(const GateRequest& request, TimePoint now, std::unique_lock<std::mutex>& lock)
{
    uint64_t ticket = this->nextTicket++;
    auto latestStart = std::min(request.deadline, now + request.maxWait);
    auto offer = offerToQueue(this->queue, { ticket, request.caller, request.priority, latestStart }, request.share, maxQueueSize(this->admission.limit));
    if (offer.evicted)
        this->decide(*offer.evicted, { RefusalReason::QueueFull, false });
    if (!offer.isQueued)
        return { RefusalReason::QueueFull, false };
    Waiter waiter;
    this->waiters[ticket] = &waiter;
    this->dispatch(now);
    bool isDecided = waiter.changed.wait_until(lock, latestStart, [&waiter] { return waiter.isDecided; });
    this->waiters.erase(ticket);
    if (isDecided)
        return waiter.pass;
    removeFromQueue(this->queue, ticket);
    return { RefusalReason::Overloaded, false };
}

GatePass AdmissionGate::enter(const GateRequest& request)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    auto now = Clock::now();
    auto reason = this->checkTime(request, now);
    if (reason != RefusalReason::None)
        return { reason, false };
    if (this->queue.size == 0) {
        auto admitted = tryAdmit(this->admission);
        if (admitted.isAdmitted)
            return { RefusalReason::None, admitted.wasAtLimit };
    }
    return this->wait(request, now, lock);
}

void AdmissionGate::leave(const CompletionReport& report)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto now = Clock::now();
    completeRequest(this->admission, report, now);
    this->dispatch(now);
}

} // namespace bilberry
