#include "RankDemand.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

// Time in which the weight of an arrival or a dispatch falls to 1/e.
static constexpr Milliseconds countingTime { 1500 };
// The share of a route priority's requests that are dispatched is at least this part of the share over all requests.
static constexpr double minPartOfSharedRate = 0.5;
// Fewest recent arrivals from which a priority is judged.
static constexpr double minArrivalsToJudge = 4;
// Least rate, in requests per second, at which waiting requests are expected to be dispatched.
static constexpr double minDispatchRate = 0.1;

static double remainingWeight(const RankCount& count, TimePoint now)
{
    auto age = std::chrono::duration<double>(now - count.updatedAt);
    return std::exp(-age / std::chrono::duration<double>(countingTime));
}

static RankCount& updatedCount(RankDemand& demand, const RequestRank& rank, TimePoint now)
{
    auto& count = demand.counts[{ rank.account, rank.route }];
    double weight = remainingWeight(count, now);
    count.arrivals *= weight;
    count.dispatches *= weight;
    count.updatedAt = now;
    return count;
}

void countArrival(RankDemand& demand, const RequestRank& rank, TimePoint now)
{
    updatedCount(demand, rank, now).arrivals += 1;
}

void countRankDispatch(RankDemand& demand, const RequestRank& rank, TimePoint now)
{
    updatedCount(demand, rank, now).dispatches += 1;
}

double arrivalRateAbove(const RankDemand& demand, const RequestRank& rank, TimePoint now)
{
    double arrivals = 0;
    for (const auto& [key, count] : demand.counts) {
        if (key < std::pair(rank.account, rank.route))
            arrivals += count.arrivals * remainingWeight(count, now);
    }
    return arrivals / std::chrono::duration<double>(countingTime).count();
}

// Recent arrivals and dispatches of the requests of one route priority, or of all.
struct DemandTotals {
    double arrivals = 0;
    double dispatches = 0;
};

static DemandTotals totalsOf(const RankDemand& demand, std::optional<int> routePriority, TimePoint now)
{
    DemandTotals totals;
    for (const auto& [key, count] : demand.counts) {
        if (routePriority && key.second != *routePriority)
            continue;
        double weight = remainingWeight(count, now);
        totals.arrivals += count.arrivals * weight;
        totals.dispatches += count.dispatches * weight;
    }
    return totals;
}

bool isStarved(const RankDemand& demand, const RequestRank& rank, TimePoint now)
{
    auto ofPriority = totalsOf(demand, rank.route, now);
    if (ofPriority.arrivals < minArrivalsToJudge)
        return false;
    auto all = totalsOf(demand, std::nullopt, now);
    double dispatchedShare = std::min(1.0, all.dispatches / all.arrivals);
    return ofPriority.dispatches < minPartOfSharedRate * dispatchedShare * ofPriority.arrivals;
}

Milliseconds expectedRankedWait(const ServiceQueue& queue, const RankDemand& demand, const RequestRank& rank, TimePoint now)
{
    double rate = dispatchRate(queue, now);
    if (rate <= 0)
        return Milliseconds::max();
    double rateAbove = rank.isOrdinary ? arrivalRateAbove(demand, rank, now) : 0;
    double remainingRate = std::max(rate - rateAbove, minDispatchRate);
    double seconds = static_cast<double>(countAhead(queue, rank) + 1) / remainingRate;
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
}

} // namespace bilberry
