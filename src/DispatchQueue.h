/// Requests that wait at an entry for a free place. Answers loads above what the endpoints can carry: a request waits only as
/// long as it can still be answered on time, and is refused at once when the queue before it is too long for that.
#pragma once

#include "RouteTable.h"
#include "Types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

struct WaitingRequest {
    uint64_t requestNumber = 0; ///< Number of the request's run.
    int priority = 0; ///< Zero is the most urgent.
    TimePoint arrivedAt {};
    TimePoint expiresAt {}; ///< Refused when it has no place by then.
};

/// Those of one service, and how fast it took requests of late.
struct ServiceQueue {
    std::vector<WaitingRequest> waiting; ///< The most urgent first, then in the order of arrival.
    std::deque<TimePoint> recentDispatches; ///< Requests sent to its endpoints in the last seconds, oldest first.
};

using DispatchQueues = std::unordered_map<std::string, ServiceQueue>;

/// Adds a request in its order.
void enqueueRequest(ServiceQueue&, const WaitingRequest&);
/// Removes a request; false when it isn't there.
bool removeWaitingRequest(ServiceQueue&, uint64_t run);
/// Removes and returns the requests whose time is up.
std::vector<WaitingRequest> takeExpiredRequests(ServiceQueue&, TimePoint now);

/// Notes that a request was sent to an endpoint of the service.
void recordDispatch(ServiceQueue&, TimePoint now);
/// Requests per second that the service has taken of late. Thread safe.
double dispatchRate(const ServiceQueue&, TimePoint now);

/// Requests that would be served before a new one of that priority. Thread safe.
size_t countAhead(const ServiceQueue&, int priority);
/// Time after which a new request of that priority can be expected to have a place; the longest time when the service takes
/// nothing. Thread safe.
Milliseconds expectedQueueWait(const ServiceQueue&, int priority, TimePoint now);

/// Time from sending a request to an engine that has a free place among busy ones until its first event. Thread safe.
Milliseconds expectedTimeToFirstEvent(const EngineTiming&, uint32_t promptTokens);

/// How long a request may wait for a place and still be answered within its target. `timeBudget` bounds it as well. Thread
/// safe.
Milliseconds maxQueueWait(const RouteRule&, const EngineTiming*, uint32_t promptTokens, Milliseconds timeBudget);

/// When a refused request should come back. `random` is uniform. Thread safe.
Milliseconds retryAfterDelay(Milliseconds expectedWait, uint64_t random);

} // namespace bilberry
