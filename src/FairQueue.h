/// Requests that wait for an endpoint, divided fairly between client accounts. Pure; the caller serializes access.
#pragma once

#include "Types.h"

#include <deque>
#include <optional>
#include <vector>

namespace bilberry {

/// One waiting request.
struct QueuedRequest {
    uint64_t ticket = 0; ///< Identity within the queue's owner.
    RowIndex caller = 0; ///< Row of the client account.
    Priority priority = Priority::Normal;
    TimePoint latestStart {}; ///< When it must have left the queue to be answered in time.
};

/// One client account's waiting requests of one priority.
struct AccountQueue {
    uint32_t share = 1;
    double virtualTime = 0; ///< Requests served, divided by the share; the lowest goes next.
    std::deque<QueuedRequest> requests;
};

/// All accounts of one priority.
struct PriorityLevel {
    std::vector<AccountQueue> accounts; ///< By caller.
    double virtualTime = 0; ///< Of the account served last; an account that was idle starts from here.
    size_t size = 0;
};

struct FairQueue {
    PriorityLevel levels[priorityCount];
    size_t size = 0;
    uint64_t servedCount = 0;
};

/// What became of a request that was offered.
struct EnqueueResult {
    bool isQueued = false;
    std::optional<uint64_t> evictedTicket; ///< Ticket of a request that had to give way, never the offered one.
};

/// Adds a request. In a full queue it takes the place of the newest request of lower priority, or of the account that
/// holds most for its share when that is another one that holds more for its share than this one would.
/// Preconditions: 1 <= share; tickets differ.
EnqueueResult enqueueRequest(FairQueue&, const QueuedRequest&, uint32_t share, size_t maxSize);

/// Takes the next request: of the highest priority, from the account that was served least for its share. Each eighth
/// one comes from the lowest priority that waits, so that none starves. Nothing when the queue is empty.
std::optional<QueuedRequest> dequeueRequest(FairQueue&);

/// Removes the requests whose latest start has passed and returns their tickets.
std::vector<uint64_t> removeExpiredRequests(FairQueue&, TimePoint now);

/// Removes one request; false when it is not there.
bool removeQueuedRequest(FairQueue&, uint64_t ticket);

/// Requests that would be served before a new one of that account, at most: those of higher priority, its own, and the
/// share of the others that comes in between. Thread safe on an unchanging queue.
size_t countRequestsAhead(const FairQueue&, Priority, RowIndex caller, uint32_t share);

} // namespace bilberry
