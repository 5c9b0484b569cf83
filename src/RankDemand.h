/// How often requests of each rank arrive at an entry for one service, and how often they are dispatched. It is designed for
/// loads under which endpoints have no room for all ranks: a request of low rank can expect only the places that arriving
/// requests of higher rank leave, but each route priority keeps a minimum share, so that none is starved. Pure functions
/// without I/O.
#pragma once

#include "DispatchQueue.h"
#include "RequestRank.h"
#include "Types.h"

#include <map>
#include <utility>

namespace bilberry {

/// Arrivals and dispatches of one rank, which count less the longer ago they were.
struct RankCount {
    double arrivals = 0;
    double dispatches = 0;
    TimePoint updatedAt {};
};

/// Used by one thread at a time.
struct RankDemand {
    std::map<std::pair<int, int>, RankCount> counts; ///< The key is the account's and the route's priority of RequestRank.
};

/// Counts the arrival of a request.
void countArrival(RankDemand&, const RequestRank&, TimePoint now);
/// Counts the first dispatch of a request.
void countRankDispatch(RankDemand&, const RequestRank&, TimePoint now);

/// Recent arrivals per second of requests whose account and route have a higher rank. Thread safe while the demand does not change.
double arrivalRateAbove(const RankDemand&, const RequestRank&, TimePoint now);
/// Whether requests of the route's priority are dispatched so seldom, compared with all requests of the service, that the next one
/// is to go before the others. Thread safe while the demand does not change.
bool isStarved(const RankDemand&, const RequestRank&, TimePoint now);

/// Expected time until a new request of that rank is dispatched: its place in the queue over the rate of dispatches that requests
/// of higher rank leave. Milliseconds::max() when no requests were recently dispatched to the service. Thread safe while neither
/// changes.
Milliseconds expectedRankedWait(const ServiceQueue&, const RankDemand&, const RequestRank&, TimePoint now);

} // namespace bilberry
