#define BOOST_TEST_MODULE RankDemand
#include <boost/test/unit_test.hpp>

#include "RankDemand.h"

#include <array>
#include <random>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };
constexpr size_t kindCount = 3;

RequestRank rankOfRoute(int priority)
{
    RequestRank rank;
    rank.account = 1;
    rank.route = priority;
    return rank;
}

/// Requests of one route priority in the model of an entry.
struct Kind {
    double perSecond = 0;
    Milliseconds runTime { 0 };
    Milliseconds allowance { 0 }; ///< How long a request may wait and still be on time.
};

/// What the callers of one kind get, as shares of their requests.
struct Outcome {
    double served = 0;
    double refusedLate = 0; ///< Refused after a wait.
};

/// An entry that may use a fixed number of slots. Each request holds one for its kind's time.
struct ModelledEntry {
    bool usesRanks = true;
    uint32_t freeSlots = 40;
    ServiceQueue queue;
    RankDemand demand;
    std::multimap<TimePoint, int> running;
    std::vector<size_t> kindOf;
    std::array<double, kindCount> arrived {};
    std::array<double, kindCount> served {};
    std::array<double, kindCount> refusedLate {};

    RequestRank rankOf(size_t kind, TimePoint now) const
    {
        auto rank = this->usesRanks ? rankOfRoute(static_cast<int>(kind)) : rankOfRoute(0);
        rank.isOrdinary = !(this->usesRanks && isStarved(this->demand, rank, now));
        return rank;
    }

    void run(size_t kind, const Kind& settings, TimePoint now)
    {
        --this->freeSlots;
        ++this->served[kind];
        this->running.emplace(now + settings.runTime, 0);
        recordDispatch(this->queue, now);
        countRankDispatch(this->demand, rankOfRoute(static_cast<int>(kind)), now);
    }

    void take(size_t kind, const Kind& settings, TimePoint now)
    {
        ++this->arrived[kind];
        countArrival(this->demand, rankOfRoute(static_cast<int>(kind)), now);
        auto rank = this->rankOf(kind, now);
        if (this->freeSlots > 0 && countAhead(this->queue, rank) == 0) {
            this->run(kind, settings, now);
            return;
        }
        auto wait = this->usesRanks ? expectedRankedWait(this->queue, this->demand, rank, now) : expectedQueueWait(this->queue, rank, now);
        bool isWaitTooLong = (this->usesRanks || countAhead(this->queue, rank) > 0) && wait != Milliseconds::max() && wait > settings.allowance;
        if (isWaitTooLong)
            return;
        enqueueRequest(this->queue, { this->kindOf.size(), rank, now, now + settings.allowance });
        this->kindOf.push_back(kind);
    }

    void advance(const std::array<Kind, kindCount>& kinds, TimePoint now)
    {
        while (!this->running.empty() && this->running.begin()->first <= now) {
            this->running.erase(this->running.begin());
            ++this->freeSlots;
        }
        for (const auto& expired : takeExpiredRequests(this->queue, now))
            ++this->refusedLate[this->kindOf[expired.requestNumber]];
        while (this->freeSlots > 0 && !this->queue.waiting.empty()) {
            auto first = this->queue.waiting.front();
            removeWaitingRequest(this->queue, first.requestNumber);
            auto kind = this->kindOf[first.requestNumber];
            this->run(kind, kinds[kind], now);
        }
    }
};

std::array<Outcome, kindCount> playLoad(const std::array<Kind, kindCount>& kinds, bool usesRanks)
{
    ModelledEntry entry;
    entry.usesRanks = usesRanks;
    std::mt19937_64 random(20261206);
    for (Milliseconds at { 0 }; at < Seconds(30); at += Milliseconds(1)) {
        auto now = start + at;
        entry.advance(kinds, now);
        for (size_t kind = 0; kind < kindCount; ++kind) {
            std::poisson_distribution<int> arrivals(kinds[kind].perSecond / 1000);
            for (int i = arrivals(random); i > 0; --i)
                entry.take(kind, kinds[kind], now);
        }
    }
    std::array<Outcome, kindCount> outcomes;
    for (size_t kind = 0; kind < kindCount; ++kind)
        outcomes[kind] = { entry.served[kind] / entry.arrived[kind], entry.refusedLate[kind] / entry.arrived[kind] };
    return outcomes;
}

// Forty slots can run some 33 requests of 1.2 s each second. The batch kind may wait longer than the urgent ones.
std::array<Kind, kindCount> kindsAt(double urgent, double middle, double batch)
{
    return { Kind { urgent, Milliseconds(1300), Milliseconds(190) }, Kind { middle, Milliseconds(1250), Milliseconds(190) }, Kind { batch, Milliseconds(800), Milliseconds(590) } };
}

} // namespace

// Load: three kinds of request within the capacity.
BOOST_AUTO_TEST_CASE(allAreServedWhileThereIsRoom)
{
    for (const auto& outcome : playLoad(kindsAt(9, 6, 8), true))
        BOOST_TEST(outcome.served > 0.99);
}

// Load: many more batch requests than there is room for, with a longer target than the urgent ones.
BOOST_AUTO_TEST_CASE(aBurstOfBatchRequestsLeavesUrgentOnesTheirPlaces)
{
    auto kinds = kindsAt(14, 10, 45);
    auto byArrival = playLoad(kinds, false);
    auto byRank = playLoad(kinds, true);
    // In order of arrival, the kind that may wait longest gets in most often.
    BOOST_TEST(byArrival[0].served < byArrival[2].served);
    BOOST_TEST(byRank[0].served > 0.93);
    BOOST_TEST(byRank[0].served >= byRank[1].served);
    BOOST_TEST(byRank[1].served > byRank[2].served);
}

// Load: all kinds at once, at almost three times the capacity.
BOOST_AUTO_TEST_CASE(noKindIsStarvedAndNoneGoesBeforeAMoreUrgentOne)
{
    auto outcomes = playLoad(kindsAt(32, 22, 28), true);
    BOOST_TEST(outcomes[0].served > outcomes[1].served);
    BOOST_TEST(outcomes[1].served >= outcomes[2].served - 0.05);
    double all = (32 * outcomes[0].served + 22 * outcomes[1].served + 28 * outcomes[2].served) / 82;
    BOOST_TEST(outcomes[2].served > 0.4 * all);
}

// Load: urgent requests that take all places.
BOOST_AUTO_TEST_CASE(whatCantBeServedIsRefusedAtItsArrival)
{
    auto kinds = kindsAt(30, 10, 30);
    auto byArrival = playLoad(kinds, false);
    auto byRank = playLoad(kinds, true);
    BOOST_TEST(byRank[2].refusedLate < 0.05);
    BOOST_TEST(byRank[1].refusedLate < 0.1);
    BOOST_TEST(byRank[0].served > byArrival[0].served);
}

BOOST_AUTO_TEST_CASE(theExpectedWaitLeavesRoomForArrivalsOfHigherRank)
{
    ServiceQueue queue;
    RankDemand demand;
    BOOST_TEST((expectedRankedWait(queue, demand, rankOfRoute(2), start) == Milliseconds::max()));
    for (int i = 0; i < 60; ++i) {
        auto now = start + Milliseconds(25) * i;
        recordDispatch(queue, now);
        countArrival(demand, rankOfRoute(i % 2 == 0 ? 0 : 2), now);
        countRankDispatch(demand, rankOfRoute(i % 2 == 0 ? 0 : 2), now);
    }
    auto now = start + Milliseconds(1500);
    auto urgentWait = expectedRankedWait(queue, demand, rankOfRoute(0), now);
    auto batchWait = expectedRankedWait(queue, demand, rankOfRoute(2), now);
    BOOST_TEST((urgentWait < Milliseconds(40)));
    BOOST_TEST((batchWait > urgentWait));
    BOOST_TEST(arrivalRateAbove(demand, rankOfRoute(0), now) == 0);
    BOOST_TEST(arrivalRateAbove(demand, rankOfRoute(2), now) > 10);
}

BOOST_AUTO_TEST_CASE(aPriorityIsStarvedOnlyWhenOthersAreDispatched)
{
    RankDemand demand;
    for (int i = 0; i < 10; ++i) {
        countArrival(demand, rankOfRoute(0), start);
        countArrival(demand, rankOfRoute(2), start);
    }
    BOOST_TEST(!isStarved(demand, rankOfRoute(2), start));
    for (int i = 0; i < 10; ++i)
        countRankDispatch(demand, rankOfRoute(0), start);
    BOOST_TEST(isStarved(demand, rankOfRoute(2), start));
    BOOST_TEST(!isStarved(demand, rankOfRoute(0), start));
    // Old counts don't matter.
    BOOST_TEST(!isStarved(demand, rankOfRoute(2), start + Seconds(10)));
}
