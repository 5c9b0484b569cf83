/// Lets requests through to the back end: the admission limit and the queue in front of it, for threads that block.
#pragma once

#include "Admission.h"
#include "FairQueue.h"

#include <condition_variable>
#include <mutex>
#include <unordered_map>

namespace bilberry {

/// What a request asks of the gate.
struct AdmissionRequest {
    RowIndex caller = 0;
    uint32_t share = 1; ///< Of the client account.
    Priority priority = Priority::Normal;
    TimePoint deadline {};
    Milliseconds maxWait = defaultQueueWait; ///< Longest wait in the queue.
};

/// None: the request is let through and must leave() again.
struct AdmissionDecision {
    RefusalReason reason = RefusalReason::None;
    bool wasAtLimit = false;
};

/// The gate's state as reports and answers give it.
struct AdmissionLoad {
    uint32_t inProgress = 0; ///< At the back end.
    uint32_t queued = 0;
    uint32_t limit = 0;
};

/// Longest queue for a limit. Thread safe.
size_t maxQueueSize(double limit);

/// Thread safe.
class AdmissionController {
public:
    AdmissionController()
        : admission(makeAdmissionState({}))
    {
    }

    /// Takes over the bounds of the inventory.
    void setBounds(AdmissionBounds);
    /// Takes over the back end's own word on cold start.
    void updateCold(bool isCold);
    /// Lets the request through, at once or after a short wait, or refuses it: at once when it can't be served in time.
    AdmissionDecision admitRequest(const AdmissionRequest&);
    /// Ends a request that was let through.
    void finishRequest(const CompletionReport&);
    AdmissionLoad load() const;

private:
    struct Waiter {
        std::condition_variable changed;
        bool isDecided = false;
        AdmissionDecision decision;
    };

    RefusalReason checkDeadline(const AdmissionRequest&, TimePoint now) const;
    AdmissionDecision waitInQueue(const AdmissionRequest&, TimePoint now, std::unique_lock<std::mutex>&);
    void resolveWaiter(uint64_t ticket, AdmissionDecision);
    void admitQueuedRequests(TimePoint now);

    mutable std::mutex mutex;
    AdmissionState admission;
    FairQueue queue;
    uint64_t nextTicket = 0;
    std::unordered_map<uint64_t, Waiter*> waiters; ///< By ticket.
};

} // namespace bilberry
