/// Admission control in front of a back end, for threads that block: the adaptive limit and the fair queue of the requests
/// that wait for it. Under overload it refuses requests early that can't be answered in time.
#pragma once

#include "Admission.h"
#include "FairQueue.h"

#include <condition_variable>
#include <mutex>
#include <unordered_map>

namespace bilberry {

/// What admission control needs to know about a request.
struct AdmissionRequest {
    RowIndex caller = 0;
    uint32_t share = 1; ///< Weight of the client account in the fair queue.
    Priority priority = Priority::Normal;
    TimePoint deadline {};
    Milliseconds maxWait = defaultQueueWait; ///< Longest wait in the queue.
};

/// Result of admitRequest(). If the reason is None, the request is admitted and must be ended by finishRequest().
struct AdmissionDecision {
    RefusalReason reason = RefusalReason::None;
    bool wasAtLimit = false;
};

/// Load of an endpoint, as stated in its reports and responses.
struct AdmissionLoad {
    uint32_t inProgress = 0; ///< Requests at the back end.
    uint32_t queued = 0;
    uint32_t limit = 0;
};

/// Maximum number of queued requests under that concurrency limit. Thread safe.
size_t maxQueueSize(double limit);

/// Thread safe.
class AdmissionController {
public:
    AdmissionController()
        : admission(makeAdmissionState({}))
    {
    }

    /// Replaces the concurrency bounds by those of the inventory.
    void setBounds(AdmissionBounds);
    /// Updates the cold state from the back end's own report; see updateColdState().
    void setBackEndCold(bool isCold);
    /// Admits the request, at once or after a short wait, or refuses it. Blocks while the request is queued. A request that
    /// can't be served in time is refused at once.
    AdmissionDecision admitRequest(const AdmissionRequest&);
    /// Ends an admitted request, adapts the limit and admits queued requests.
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
    std::unordered_map<uint64_t, Waiter*> waiters; ///< Requests in the queue; the key is their ticket.
};

} // namespace bilberry
