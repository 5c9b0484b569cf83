/// Queue of the requests that wait for an endpoint: priorities, and within each one weighted fair queueing between
/// client accounts, so that a burst of one account doesn't displace the requests of others. The functions do no I/O and
/// take no locks; the code that uses a queue must serialize access to it.
#pragma once

#include "Types.h"

#include <deque>
#include <optional>
#include <vector>

namespace bilberry {

/// One waiting request.
struct QueuedRequest {
    uint64_t ticket = 0; ///< Identifies the request; assigned by the owner of the queue.
    RowIndex accountRow = 0; ///< Row of the client account.
    Priority priority = Priority::Normal;
    TimePoint latestStart {}; ///< Time by which the request must leave the queue to be answered in time.
};

/// Waiting requests of one client account at one priority.
struct AccountQueue {
    uint32_t weight = 1;
    double virtualTime = 0; ///< Requests served, divided by the weight; the account with the lowest value is next.
    std::deque<QueuedRequest> requests;
};

/// Queues of all client accounts at one priority.
struct PriorityLevel {
    std::vector<AccountQueue> accounts; ///< The index is the row of the client account.
    double virtualTime = 0; ///< Virtual time of the account served last; an account that was idle starts from here.
    size_t size = 0;
};

struct FairQueue {
    PriorityLevel levels[priorityCount];
    size_t size = 0;
    uint64_t servedCount = 0; ///< Number of requests dequeued; every eighth comes from the lowest priority.
};

/// Result of enqueueRequest().
struct EnqueueResult {
    bool isQueued = false;
    std::optional<uint64_t> evictedTicket; ///< Ticket of a request that was evicted to make room, never the new one.
};

/// Adds a request. In a full queue it evicts the newest request of the account with the most requests per weight. It looks
/// at lower priorities first. At the request's own priority, it evicts only from another account that has more requests per
/// weight than the new request's account would have. Preconditions: 1 <= weight; tickets are unique.
EnqueueResult enqueueRequest(FairQueue&, const QueuedRequest&, uint32_t weight, size_t maxSize);

/// Removes and returns the next request: at the highest priority, the one of the account that was served least relative to
/// its weight. Every eighth request comes from the lowest priority that has waiting requests, so that no priority starves.
/// Returns nothing when the queue is empty.
std::optional<QueuedRequest> dequeueRequest(FairQueue&);

/// Removes the requests whose latest start has passed and returns their tickets.
std::vector<uint64_t> removeExpiredRequests(FairQueue&, TimePoint now);

/// Removes one request; returns false when it is not in the queue.
bool removeQueuedRequest(FairQueue&, uint64_t ticket);

/// Upper bound of the requests that are served before a new one of that account: those of higher priority, its own, and
/// the part of the other accounts' requests that is served in between. Thread safe while the queue does not change.
size_t countRequestsAhead(const FairQueue&, Priority, RowIndex accountRow, uint32_t weight);

} // namespace bilberry
