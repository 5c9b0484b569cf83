#include "DispatchQueue.h"

#include <algorithm>

namespace bilberry {

// Window over which the dispatch rate is measured.
static constexpr Milliseconds dispatchRateWindow { 1500 };
// Time reserved for the network round trip between the entry and the caller.
static constexpr Milliseconds callerRoundTrip { 10 };
// Share of the target latency that a request for a plain service may wait.
static constexpr double plainServiceWaitShare = 0.5;
// Bounds of the retry delay of a refused request, before jitter is added.
static constexpr Milliseconds shortestRetryAfter { 300 };
static constexpr Milliseconds longestRetryAfter { 2000 };

// Number of engine passes until the first event: the current one, of which a part remains, and the request's own one.
static constexpr double passesToFirstEvent = 2.0;

static bool isServedBefore(const WaitingRequest& first, const WaitingRequest& second)
{
    return first.rank == second.rank ? first.arrivedAt < second.arrivedAt : first.rank < second.rank;
}

void enqueueRequest(ServiceQueue& queue, const WaitingRequest& request)
{
    auto position = std::upper_bound(queue.waiting.begin(), queue.waiting.end(), request, isServedBefore);
    queue.waiting.insert(position, request);
}

bool removeWaitingRequest(ServiceQueue& queue, uint64_t number)
{
    auto hasNumber = [&](const WaitingRequest& request) { return request.requestNumber == number; };
    auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(), hasNumber);
    if (found == queue.waiting.end())
        return false;
    queue.waiting.erase(found);
    return true;
}

std::vector<WaitingRequest> takeExpiredRequests(ServiceQueue& queue, TimePoint now)
{
    std::vector<WaitingRequest> expired;
    auto isUnexpired = [&](const WaitingRequest& request) { return now < request.expiresAt; };
    auto end = std::stable_partition(queue.waiting.begin(), queue.waiting.end(), isUnexpired);
    expired.assign(end, queue.waiting.end());
    queue.waiting.erase(end, queue.waiting.end());
    return expired;
}

void recordDispatch(ServiceQueue& queue, TimePoint now)
{
    queue.recentDispatches.push_back(now);
    while (now - queue.recentDispatches.front() > dispatchRateWindow)
        queue.recentDispatches.pop_front();
}

double dispatchRate(const ServiceQueue& queue, TimePoint now)
{
    auto isRecent = [&](TimePoint at) { return now - at <= dispatchRateWindow; };
    auto recent = std::count_if(queue.recentDispatches.begin(), queue.recentDispatches.end(), isRecent);
    return static_cast<double>(recent) / std::chrono::duration<double>(dispatchRateWindow).count();
}

size_t countAhead(const ServiceQueue& queue, const RequestRank& rank)
{
    auto isAhead = [&](const WaitingRequest& request) { return !(rank < request.rank); };
    return static_cast<size_t>(std::count_if(queue.waiting.begin(), queue.waiting.end(), isAhead));
}

Milliseconds expectedQueueWait(const ServiceQueue& queue, const RequestRank& rank, TimePoint now)
{
    double rate = dispatchRate(queue, now);
    if (rate <= 0)
        return Milliseconds::max();
    double seconds = static_cast<double>(countAhead(queue, rank) + 1) / rate;
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
}

Milliseconds expectedTimeToFirstEvent(const EnginePerformance& engine, uint32_t promptTokens, double workTime)
{
    // The engine decodes tokens in passes of one event for each request, and prefills the prompts of new requests in between.
    FractionalMilliseconds timePerToken = engine.stepTime + engine.slots * engine.stepTimePerRequest;
    double tokensPerMillisecond = std::max(engine.prefillTokensPerSecond / 1000, 1e-3);
    FractionalMilliseconds ownPrefill(promptTokens / tokensPerMillisecond);
    FractionalMilliseconds othersPrefill(engine.typicalPromptTokens / tokensPerMillisecond);
    FractionalMilliseconds passTime = timePerToken * engine.tokensPerEvent + othersPrefill;
    return std::chrono::duration_cast<Milliseconds>(workTime * (passesToFirstEvent * passTime + ownPrefill));
}

Milliseconds maxQueueWait(const RouteRule& route, const EnginePerformance* engine, uint32_t promptTokens, Milliseconds timeBudget, double workTime)
{
    auto target = std::min(route.targetLatency, timeBudget) - callerRoundTrip;
    if (!engine)
        return std::max(Milliseconds(0), Milliseconds(static_cast<int64_t>(plainServiceWaitShare * static_cast<double>(target.count()))));
    return std::max(Milliseconds(0), target - expectedTimeToFirstEvent(*engine, promptTokens, workTime));
}

Milliseconds retryAfterDelay(Milliseconds expectedWait, uint64_t random)
{
    auto bounded = std::clamp(expectedWait, shortestRetryAfter, longestRetryAfter);
    // Jitter prevents requests that were refused together from coming back together.
    return bounded + bounded * static_cast<int64_t>(random % 100) / 200;
}

} // namespace bilberry
