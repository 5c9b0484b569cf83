#define BOOST_TEST_MODULE DispatchQueue
#include <boost/test/unit_test.hpp>

#include "DispatchQueue.h"
#include "EndpointChoice.h"
#include "EngineModel.h"

#include <memory>
#include <random>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };

EnginePerformance makeEnginePerformance()
{
    EnginePerformance engine;
    engine.slots = 16;
    engine.tokensPerEvent = 5;
    engine.stepTime = FractionalMilliseconds(9.27);
    engine.stepTimePerRequest = FractionalMilliseconds(0.0232);
    engine.prefillTokensPerSecond = 20'700;
    engine.typicalPromptTokens = 979;
    engine.typicalAnswerTokens = 92;
    return engine;
}

RouteRule streamRoute()
{
    RouteRule route;
    route.kind = RequestKind::Stream;
    route.targetLatency = Milliseconds(400);
    route.timeout = Milliseconds(6000);
    return route;
}

RequestRank rankOfPriority(int priority)
{
    RequestRank rank;
    rank.account = priority;
    rank.route = priority;
    return rank;
}

TimePoint timeAt(double milliseconds)
{
    return start + std::chrono::duration_cast<Duration>(FractionalMilliseconds(milliseconds));
}

/// Result of a simulated load.
struct SimulationResult {
    int requestCount = 0;
    int onTimeCount = 0;
    int refusedCount = 0;
    double longestRefusedWait = 0; ///< Longest queue wait of a refused request, in milliseconds.
};

/// Simulates an entry that dispatches `requestsPerSecond` requests per second to engines. Unless `usesDispatchQueue`, each
/// request is sent to an engine at once.
SimulationResult simulateLoad(double requestsPerSecond, size_t engineCount, bool usesDispatchQueue)
{
    std::mt19937_64 random(20261203);
    auto performance = makeEnginePerformance();
    auto route = streamRoute();
    std::vector<ModelledEngine> engines(engineCount);
    EndpointTable table;
    for (size_t i = 0; i < engineCount; ++i) {
        engines[i].performance = performance;
        EndpointRecord record;
        record.id = std::to_string(i);
        record.service = "writer";
        record.slots = performance.slots;
        record.isModelEngine = true;
        record.models = { { "m", 1 } };
        table.upsert(record, start);
    }
    EndpointRequirements requirements;
    requirements.service = "writer";
    requirements.model = "m";
    NodeLocation location;
    ServiceQueue queue;
    std::vector<std::unique_ptr<ModelledRequest>> requests;
    std::vector<double> arrivals;
    std::vector<size_t> engineOf;
    SimulationResult result;
    std::exponential_distribution<double> arrivalGap(requestsPerSecond / 1000);
    std::exponential_distribution<double> size(1);
    double nextArrival = 0;
    auto send = [&](size_t request, uint32_t engine, double now) {
        ++table.rows[engine].inFlight;
        recordDispatch(queue, timeAt(now));
        requests[request]->sentAt = now;
        engineOf[request] = engine;
        engines[engine].addRequest(*requests[request]);
    };
    for (double now = 0; now < 20'000; now += 1) {
        for (size_t e = 0; e < engineCount; ++e)
            table.rows[e].inFlight -= static_cast<uint32_t>(engines[e].advanceTo(now).size());
        for (; nextArrival <= now; nextArrival += arrivalGap(random)) {
            auto request = std::make_unique<ModelledRequest>();
            request->promptTokens = static_cast<uint32_t>(100 + 880 * size(random));
            request->answerTokens = static_cast<uint32_t>(5 + 87 * size(random));
            requests.push_back(std::move(request));
            arrivals.push_back(now);
            engineOf.push_back(0);
            auto allowance = maxQueueWait(route, &performance, requests.back()->promptTokens, route.timeout);
            auto choice = chooseEndpoint(table, requirements, location, {}, random(), timeAt(now));
            auto wait = expectedQueueWait(queue, {}, timeAt(now));
            if (!usesDispatchQueue) {
                auto least = std::min_element(table.rows.begin(), table.rows.end(), [](const EndpointRow& a, const EndpointRow& b) { return a.inFlight < b.inFlight; });
                send(requests.size() - 1, static_cast<uint32_t>(least - table.rows.begin()), now);
            } else if (choice.row != noEndpoint && countAhead(queue, {}) == 0) {
                send(requests.size() - 1, choice.row, now);
            } else if (countAhead(queue, {}) > 0 && wait != Milliseconds::max() && wait > allowance) {
                ++result.refusedCount;
            } else {
                enqueueRequest(queue, { requests.size() - 1, {}, timeAt(now), timeAt(now) + allowance });
            }
        }
        for (const auto& expired : takeExpiredRequests(queue, timeAt(now))) {
            ++result.refusedCount;
            result.longestRefusedWait = std::max(result.longestRefusedWait, now - arrivals[expired.requestNumber]);
        }
        while (!queue.waiting.empty()) {
            auto choice = chooseEndpoint(table, requirements, location, {}, random(), timeAt(now));
            if (choice.row == noEndpoint)
                break;
            auto first = queue.waiting.front();
            removeWaitingRequest(queue, first.requestNumber);
            send(first.requestNumber, choice.row, now);
        }
    }
    for (size_t i = 0; i < requests.size(); ++i) {
        // Requests of the last two seconds are not counted, because they may not have started yet.
        if (arrivals[i] > 18'000)
            continue;
        ++result.requestCount;
        if (requests[i]->firstEventAt >= 0 && requests[i]->firstEventAt - arrivals[i] <= 400)
            ++result.onTimeCount;
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(urgentRequestsGoFirstThenTheOldest)
{
    ServiceQueue queue;
    enqueueRequest(queue, { 1, rankOfPriority(1), start, start + Seconds(1) });
    enqueueRequest(queue, { 2, {}, start + Milliseconds(1), start + Seconds(1) });
    enqueueRequest(queue, { 3, rankOfPriority(1), start + Milliseconds(2), start + Seconds(1) });
    enqueueRequest(queue, { 4, {}, start + Milliseconds(3), start + Seconds(1) });
    std::vector<uint64_t> order;
    for (const auto& request : queue.waiting)
        order.push_back(request.requestNumber);
    BOOST_TEST(order == (std::vector<uint64_t> { 2, 4, 1, 3 }), boost::test_tools::per_element());
    BOOST_TEST(countAhead(queue, {}) == 2u);
    BOOST_TEST(countAhead(queue, rankOfPriority(1)) == 4u);
    BOOST_TEST(removeWaitingRequest(queue, 4));
    BOOST_TEST(!removeWaitingRequest(queue, 4));
}

BOOST_AUTO_TEST_CASE(expiredRequestsLeaveTheQueue)
{
    ServiceQueue queue;
    enqueueRequest(queue, { 1, {}, start, start + Milliseconds(50) });
    enqueueRequest(queue, { 2, {}, start, start + Milliseconds(150) });
    BOOST_TEST(takeExpiredRequests(queue, start + Milliseconds(49)).empty());
    auto expired = takeExpiredRequests(queue, start + Milliseconds(50));
    BOOST_TEST(expired.size() == 1u);
    BOOST_TEST(expired.front().requestNumber == 1u);
    BOOST_TEST(queue.waiting.size() == 1u);
}

BOOST_AUTO_TEST_CASE(expectedWaitFollowsFromTheDispatchRate)
{
    ServiceQueue queue;
    BOOST_TEST((expectedQueueWait(queue, {}, start) == Milliseconds::max()));
    for (int i = 0; i < 15; ++i)
        recordDispatch(queue, start + Milliseconds(100 * i));
    auto now = start + Milliseconds(1400);
    BOOST_TEST(dispatchRate(queue, now) == 10);
    BOOST_TEST((expectedQueueWait(queue, {}, now) == Milliseconds(100)));
    enqueueRequest(queue, { 1, {}, now, now + Seconds(1) });
    BOOST_TEST((expectedQueueWait(queue, {}, now) == Milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(noWaitBeyondTheTimeBudget)
{
    auto engine = makeEnginePerformance();
    BOOST_TEST(rc::check([&] {
        auto route = streamRoute();
        auto budget = Milliseconds(*rc::gen::inRange(0, 8000));
        auto prompt = static_cast<uint32_t>(*rc::gen::inRange(0, 20'000));
        auto engineWait = maxQueueWait(route, &engine, prompt, budget);
        auto plainWait = maxQueueWait(route, nullptr, prompt, budget);
        RC_ASSERT(engineWait >= Milliseconds(0) && engineWait <= std::min(budget, route.targetLatency));
        RC_ASSERT(plainWait >= Milliseconds(0) && plainWait <= std::min(budget, route.targetLatency));
    }));
}

BOOST_AUTO_TEST_CASE(retryDelaysAreSpreadByJitter)
{
    for (uint64_t random = 0; random < 300; ++random) {
        auto wait = retryAfterDelay(Milliseconds(1000), random);
        BOOST_TEST((wait >= Milliseconds(1000) && wait <= Milliseconds(1500)));
    }
    BOOST_TEST((retryAfterDelay(Milliseconds(0), 0) > Milliseconds(0)));
    BOOST_TEST((retryAfterDelay(Milliseconds::max(), 99) <= Seconds(3)));
}

// Without the entry's dispatch queue, a load far above the capacity of four engines makes nearly all requests late. With it,
// about as many requests are on time as the engines have capacity for, and the others are refused within the target latency.
BOOST_AUTO_TEST_CASE(overloadIsServedUpToTheEnginesCapacity)
{
    auto normalLoad = simulateLoad(24, 4, true);
    BOOST_TEST(normalLoad.onTimeCount >= 0.95 * normalLoad.requestCount);
    auto withoutQueue = simulateLoad(60, 4, false);
    auto withQueue = simulateLoad(60, 4, true);
    double capacityShare = 24.0 / 60.0;
    BOOST_TEST(withoutQueue.onTimeCount < 0.2 * withoutQueue.requestCount);
    BOOST_TEST(withQueue.onTimeCount > 0.8 * capacityShare * withQueue.requestCount);
    BOOST_TEST(withQueue.longestRefusedWait <= 400);
}
