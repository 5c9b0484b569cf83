#include "AdmissionController.h"

#include <algorithm>

namespace bilberry {

// Maximum queue size as a multiple of the concurrency limit, and its bounds.
static constexpr double queueSlotsPerLimit = 4;
static constexpr size_t minQueueSlots = 8;
static constexpr size_t maxQueueSlots = 64;

size_t maxQueueSize(double limit)
{
    return std::clamp(static_cast<size_t>(limit * queueSlotsPerLimit), minQueueSlots, maxQueueSlots);
}

void AdmissionController::setBounds(AdmissionBounds bounds)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    setAdmissionBounds(this->admission, bounds);
    this->admitQueuedRequests(Clock::now());
}

void AdmissionController::setBackEndCold(bool isCold)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    updateColdState(this->admission, isCold, Clock::now());
}

AdmissionLoad AdmissionController::load() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return { this->admission.inProgress, static_cast<uint32_t>(this->queue.size), static_cast<uint32_t>(this->admission.limit) };
}

static Duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

RefusalReason AdmissionController::checkDeadline(const AdmissionRequest& request, TimePoint now) const
{
    // The first byte is not expected sooner than the baseline, even without a queue.
    if (request.deadline - now <= secondsToDuration(this->admission.baselineFirstByteSeconds))
        return RefusalReason::DeadlineExceeded;
    if (this->admission.inProgress < static_cast<uint32_t>(this->admission.limit))
        return RefusalReason::None;
    auto waitTime = estimateQueueWait(this->admission, countRequestsAhead(this->queue, request.priority, request.caller, request.share));
    if (request.deadline - now <= waitTime)
        return RefusalReason::DeadlineExceeded;
    return waitTime > request.maxWait ? RefusalReason::Overloaded : RefusalReason::None;
}

void AdmissionController::resolveWaiter(uint64_t ticket, AdmissionDecision decision)
{
    Waiter& waiter = *this->waiters.at(ticket);
    waiter.decision = decision;
    waiter.isDecided = true;
    waiter.changed.notify_one();
}

void AdmissionController::admitQueuedRequests(TimePoint now)
{
    for (uint64_t ticket : removeExpiredRequests(this->queue, now))
        this->resolveWaiter(ticket, { RefusalReason::Overloaded, false });
    while (this->queue.size > 0) {
        auto result = tryAdmit(this->admission);
        if (!result.isAdmitted)
            return;
        this->resolveWaiter(dequeueRequest(this->queue)->ticket, { RefusalReason::None, result.wasAtLimit });
    }
}

AdmissionDecision AdmissionController::waitInQueue(const AdmissionRequest& request, TimePoint now, std::unique_lock<std::mutex>& lock)
{
    uint64_t ticket = this->nextTicket++;
    auto latestStart = std::min(request.deadline, now + request.maxWait);
    auto result = enqueueRequest(this->queue, { ticket, request.caller, request.priority, latestStart }, request.share, maxQueueSize(this->admission.limit));
    if (result.evictedTicket)
        this->resolveWaiter(*result.evictedTicket, { RefusalReason::QueueFull, false });
    if (!result.isQueued)
        return { RefusalReason::QueueFull, false };
    Waiter waiter;
    this->waiters[ticket] = &waiter;
    this->admitQueuedRequests(now);
    bool isDecided = waiter.changed.wait_until(lock, latestStart, [&waiter] { return waiter.isDecided; });
    this->waiters.erase(ticket);
    if (isDecided)
        return waiter.decision;
    removeQueuedRequest(this->queue, ticket);
    return { RefusalReason::Overloaded, false };
}

AdmissionDecision AdmissionController::admitRequest(const AdmissionRequest& request)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    auto now = Clock::now();
    auto reason = this->checkDeadline(request, now);
    if (reason != RefusalReason::None)
        return { reason, false };
    if (this->queue.size == 0) {
        auto result = tryAdmit(this->admission);
        if (result.isAdmitted)
            return { RefusalReason::None, result.wasAtLimit };
    }
    return this->waitInQueue(request, now, lock);
}

void AdmissionController::finishRequest(const CompletionReport& report)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto now = Clock::now();
    completeRequest(this->admission, report, now);
    this->admitQueuedRequests(now);
}

} // namespace bilberry
