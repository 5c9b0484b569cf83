/// Queues of requests that wait at an entry for an endpoint with free capacity. They are designed for loads above the
/// capacity of the endpoints: a request waits only as long as it can still be answered on time, and is refused at once when
/// the queue ahead of it is too long for that.
///
/// A queue is used by one thread at a time. Functions that don't change it are thread safe while it doesn't change.
#pragma once

#include "EntryConfiguration.h"
#include "RequestRank.h"
#include "Types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// A request that waits for an endpoint.
struct WaitingRequest {
    uint64_t requestNumber = 0; ///< Number of the request at this entry.
    RequestRank rank;
    TimePoint arrivedAt {}; ///< When the request arrived at the entry.
    TimePoint expiresAt {}; ///< The request is taken from the queue if it has not been dispatched by then.
};

/// Waiting requests of one service, and the times of recent dispatches to its endpoints.
struct ServiceQueue {
    std::vector<WaitingRequest> waiting; ///< Requests sorted by rank, then by arrival.
    std::deque<TimePoint> recentDispatches; ///< Times of the dispatches to endpoints in the last 1.5 s, oldest first.
};

/// Queues by the name of the service.
using DispatchQueues = std::unordered_map<std::string, ServiceQueue>;

/// Inserts a request by rank, then by arrival.
void enqueueRequest(ServiceQueue&, const WaitingRequest&);
/// Removes a request. Returns false when it isn't in the queue.
bool removeWaitingRequest(ServiceQueue&, uint64_t number);
/// Removes and returns the requests whose waiting time is over.
std::vector<WaitingRequest> takeExpiredRequests(ServiceQueue&, TimePoint now);

/// Records that a request was sent to an endpoint of the service.
void recordDispatch(ServiceQueue&, TimePoint now);
/// Requests per second that were recently dispatched to the service's endpoints. Thread safe while the queue does not
/// change.
double dispatchRate(const ServiceQueue&, TimePoint now);

/// Number of waiting requests that would be dispatched before a new one of that rank. Thread safe while the queue does
/// not change.
size_t countAhead(const ServiceQueue&, const RequestRank&);
/// Expected time until a new request of that rank is dispatched; Milliseconds::max() when no requests were
/// recently dispatched to the service. Thread safe while the queue does not change.
Milliseconds expectedQueueWait(const ServiceQueue&, const RequestRank&, TimePoint now);

/// Expected time to the first event of a request that is sent to an engine of which all other slots are in use. The work time is
/// a multiple of the usual one (see WorkRate.h). Thread safe.
Milliseconds expectedTimeToFirstEvent(const EnginePerformance&, uint32_t promptTokens, double workTime = 1);

/// Longest time that a request may wait in the queue and still be answered within the route's target latency and
/// `timeBudget`. The engine timing is null for plain services. Thread safe.
Milliseconds maxQueueWait(const RouteRule&, const EnginePerformance*, uint32_t promptTokens, Milliseconds timeBudget, double workTime = 1);

/// Delay with jitter after which a refused request should be sent again. `random` is uniform. Thread safe.
Milliseconds retryAfterDelay(Milliseconds expectedWait, uint64_t random);

} // namespace bilberry
