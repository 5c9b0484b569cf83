#define BOOST_TEST_MODULE FairQueue
#include "FairQueue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace bilberry;

static const TimePoint start = TimePoint() + std::chrono::hours(1);

static Priority makeRandomPriority()
{
    return static_cast<Priority>(*rc::gen::inRange(0, priorityCount));
}

// Every queued request leaves exactly once: served, evicted, expired or removed. The queue never exceeds its maximum size.
RC_BOOST_PROP(noRequestIsLostOrServedTwice, ())
{
    FairQueue queue;
    std::set<uint64_t> waiting;
    auto maxSize = *rc::gen::inRange<size_t>(1, 12);
    uint64_t ticket = 0;
    for (int step = *rc::gen::inRange(1, 200); step > 0; --step) {
        int action = *rc::gen::inRange(0, 10);
        if (action < 6) {
            auto latestStart = start + Milliseconds(*rc::gen::inRange(0, 100));
            auto result = enqueueRequest(queue, { ++ticket, *rc::gen::inRange<RowIndex>(0, 5), makeRandomPriority(), latestStart }, *rc::gen::inRange<uint32_t>(1, 4), maxSize);
            RC_ASSERT(result.isQueued || queue.size == maxSize);
            RC_ASSERT(!result.evictedTicket || (result.isQueued && waiting.erase(*result.evictedTicket) == 1U));
            if (result.isQueued)
                waiting.insert(ticket);
        } else if (action < 8) {
            auto dequeued = dequeueRequest(queue);
            RC_ASSERT(dequeued.has_value() == !waiting.empty());
            RC_ASSERT(!dequeued || waiting.erase(dequeued->ticket) == 1U);
        } else if (action == 8) {
            for (uint64_t expiredTicket : removeExpiredRequests(queue, start + Milliseconds(*rc::gen::inRange(0, 100))))
                RC_ASSERT(waiting.erase(expiredTicket) == 1U);
        } else {
            uint64_t anyTicket = *rc::gen::inRange<uint64_t>(0, ticket + 1);
            RC_ASSERT(removeQueuedRequest(queue, anyTicket) == (waiting.erase(anyTicket) == 1U));
        }
        RC_ASSERT(queue.size == waiting.size());
        RC_ASSERT(queue.size <= maxSize);
    }
}

// While one account sends most of the load, each account still gets its share if it sends enough requests.
RC_BOOST_PROP(accountsGetTheirShares, ())
{
    constexpr int accounts = 10;
    constexpr int rounds = 2000;
    std::vector<uint32_t> shares;
    double total = 0;
    for (int i = 0; i < accounts; ++i) {
        shares.push_back(*rc::gen::inRange<uint32_t>(1, 5));
        total += shares.back();
    }
    FairQueue queue;
    std::map<RowIndex, int> served;
    uint64_t ticket = 0;
    for (int round = 0; round < rounds; ++round) {
        // The first account sends 40 requests a round, the others one each; one request is served.
        for (int i = 0; i < 40; ++i)
            enqueueRequest(queue, { ++ticket, 0, Priority::Normal, start }, shares[0], 40);
        for (RowIndex accountRow = 1; accountRow < accounts; ++accountRow)
            enqueueRequest(queue, { ++ticket, accountRow, Priority::Normal, start }, shares[accountRow], 40);
        ++served[dequeueRequest(queue)->accountRow];
    }
    for (RowIndex accountRow = 0; accountRow < accounts; ++accountRow)
        RC_ASSERT(served[accountRow] >= 0.9 * rounds * shares[accountRow] / total);
}

BOOST_AUTO_TEST_CASE(higherPrioritiesGoFirstAndLowerOnesDoNotStarve)
{
    FairQueue queue;
    std::map<Priority, int> served;
    uint64_t ticket = 0;
    for (int round = 0; round < 80; ++round) {
        for (auto priority : { Priority::Batch, Priority::Interactive })
            enqueueRequest(queue, { ++ticket, 0, priority, start }, 1, 1000);
        ++served[dequeueRequest(queue)->priority];
    }
    BOOST_TEST(served[Priority::Interactive] == 70);
    BOOST_TEST(served[Priority::Batch] == 10);
    // In a full queue an interactive request evicts a batch request.
    size_t size = queue.size;
    auto result = enqueueRequest(queue, { ++ticket, 1, Priority::Interactive, start }, 1, size);
    BOOST_TEST(result.isQueued);
    BOOST_TEST(result.evictedTicket.has_value());
}
