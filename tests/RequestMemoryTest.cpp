#define BOOST_TEST_MODULE RequestMemory
#include <boost/test/unit_test.hpp>

#include "RequestMemory.h"

#include <array>

using namespace bilberry;

namespace {

constexpr size_t mebibyte = 1 << 20;
const TimePoint start { Seconds(1000) };
const std::array<int, 2> servers {};

/// Limits of a sum of 16 MiB, of which 4 are kept for small requests and 8 may be held for one address.
RequestMemoryLimits testLimits()
{
    return makeRequestMemoryLimits(64 * mebibyte, mebibyte);
}

Holding& addReading(RequestMemory& memory, const std::string& address, size_t bytes, TimePoint now)
{
    auto& holding = addHolding(memory, address, &servers[0], now);
    setHolding(memory, holding, HoldingPhase::ReadingBody, bytes, now);
    return holding;
}

} // namespace

// A VM whose memory isn't known, and one request of the largest size on the smallest VM.
BOOST_AUTO_TEST_CASE(limitsLeaveRoomForOneLargestRequest)
{
    BOOST_TEST(makeRequestMemoryLimits(0, 4 * mebibyte).maxBytes == SIZE_MAX);
    for (size_t vmMegabytes : { 1, 16, 64, 112, 128, 260, 512 }) {
        RequestMemory memory;
        memory.limits = makeRequestMemoryLimits(vmMegabytes * mebibyte, 4 * mebibyte);
        auto& holding = addReading(memory, "a", 24 << 10, start);
        BOOST_TEST(mayHold(memory, holding, 4 * mebibyte + (32 << 10)));
    }
    BOOST_TEST(testLimits().maxBytes == 16 * mebibyte);
}

BOOST_AUTO_TEST_CASE(connectionsFollowDescriptorsAndMemory)
{
    BOOST_TEST(maxCallerConnections(0, 4200) == 2100U);
    BOOST_TEST(maxCallerConnections(512 * mebibyte, 4200) == 2100U);
    BOOST_TEST(maxCallerConnections(64 * mebibyte, 4200) == 512U);
    size_t all = maxCallerConnections(0, 2048) + maxPeerConnections(0, 2048) + 2 * maxObserverConnections(0, 2048);
    BOOST_TEST(all < 2048U - 200);
}

// Many large bodies of legal size at once, most stopping just short of their end.
BOOST_AUTO_TEST_CASE(largeRequestsWaitAndThoseThatHoldMostForLongestGoFirst)
{
    RequestMemory memory;
    memory.limits = testLimits();
    std::vector<Holding*> holdings;
    holdings.reserve(12);
    for (int i = 0; i < 12; ++i)
        holdings.push_back(&addReading(memory, std::to_string(i), mebibyte, start + Milliseconds(i)));
    auto& waiting = addReading(memory, "late", 8 << 10, start + Seconds(1));
    BOOST_TEST(mayHold(memory, waiting, 64 << 10));
    BOOST_TEST(!mayHold(memory, waiting, mebibyte));
    waitToHold(memory, waiting, mebibyte, start + Seconds(1));
    BOOST_TEST(!nextToGoOn(memory).has_value());
    BOOST_TEST(chooseToGiveUp(memory, start + Seconds(1) + Milliseconds(199)).empty());
    auto chosen = chooseToGiveUp(memory, start + Seconds(1) + Milliseconds(200));
    BOOST_REQUIRE(chosen.size() == 1);
    BOOST_TEST(chosen[0] == holdings[0]->number);
    removeHolding(memory, chosen[0]);
    BOOST_TEST(nextToGoOn(memory).value() == waiting.number);
    setHolding(memory, waiting, HoldingPhase::ReadingBody, mebibyte, start + Seconds(2));
    BOOST_TEST(memory.waiting == 0U);
}

// One address sends large bodies: the others' are left alone.
BOOST_AUTO_TEST_CASE(anAddressThatReachesItsShareGivesUpItsOwn)
{
    RequestMemory memory;
    memory.limits = testLimits();
    auto& other = addReading(memory, "other", 2 * mebibyte, start);
    for (int i = 0; i < 8; ++i)
        addReading(memory, "many", mebibyte, start + Seconds(1));
    auto& waiting = addReading(memory, "many", 8 << 10, start + Seconds(2));
    BOOST_TEST(!mayHold(memory, waiting, mebibyte));
    waitToHold(memory, waiting, mebibyte, start + Seconds(2));
    auto chosen = chooseToGiveUp(memory, start + Seconds(3));
    BOOST_TEST(!chosen.empty());
    for (uint64_t number : chosen)
        BOOST_TEST(number != other.number);
    auto& calm = addReading(memory, "calm", 8 << 10, start + Seconds(3));
    BOOST_TEST(mayHold(memory, calm, mebibyte));
}

// Complete requests aren't given up; small ones make the sum reach its limit, and who doesn't read large responses goes.
BOOST_AUTO_TEST_CASE(theSumIsKeptWithoutRunningRequests)
{
    RequestMemory memory;
    memory.limits = testLimits();
    auto& running = addReading(memory, "a", 10 * mebibyte, start);
    setHolding(memory, running, HoldingPhase::Running, 10 * mebibyte, start);
    auto& writing = addReading(memory, "b", 5 * mebibyte, start);
    setHolding(memory, writing, HoldingPhase::Writing, 5 * mebibyte, start + Seconds(1));
    BOOST_TEST(chooseToGiveUp(memory, start + Seconds(2)).empty());
    for (int i = 0; i < 17; ++i)
        addReading(memory, "c", 64 << 10, start + Seconds(2));
    auto chosen = chooseToGiveUp(memory, start + Seconds(2));
    BOOST_REQUIRE(chosen.size() == 1);
    BOOST_TEST(chosen[0] == writing.number);
}

BOOST_AUTO_TEST_CASE(whatIsHeldIsCountedUntilItIsRemoved)
{
    RequestMemory memory;
    memory.limits = testLimits();
    auto& first = addReading(memory, "a", 100, start);
    auto& second = addReading(memory, "a", 50, start);
    BOOST_TEST(memory.bytes == 150U);
    BOOST_TEST(memory.addresses.at("a").connections == 2U);
    waitToHold(memory, second, mebibyte, start);
    setHolding(memory, first, HoldingPhase::Idle, 0, start);
    removeHolding(memory, second.number);
    BOOST_TEST(memory.bytes == 0U);
    BOOST_TEST(memory.waiting == 0U);
    removeHolding(memory, first.number);
    BOOST_TEST(memory.addresses.empty());
}

// Connections without a request fill the number: one of the address that has most of them makes room.
BOOST_AUTO_TEST_CASE(theConnectionThatMakesRoomIsOfTheAddressWithMost)
{
    RequestMemory memory;
    memory.limits = testLimits();
    addHolding(memory, "ordinary", &servers[0], start);
    auto& oldest = addHolding(memory, "many", &servers[0], start + Seconds(1));
    addHolding(memory, "many", &servers[0], start + Seconds(2));
    addHolding(memory, "many", &servers[1], start);
    BOOST_TEST(chooseToClose(memory, &servers[0], start + Seconds(3)).value() == oldest.number);
    BOOST_TEST(!chooseToClose(memory, &memory, start + Seconds(3)).has_value());
    RequestMemory busy;
    addReading(busy, "a", 100, start);
    auto& slow = addReading(busy, "a", 200, start - Seconds(1));
    auto& running = addReading(busy, "a", 300, start - Seconds(9));
    setHolding(busy, running, HoldingPhase::Running, 300, start);
    BOOST_TEST(chooseToClose(busy, &servers[0], start).value() == slow.number);
    removeHolding(busy, slow.number);
    BOOST_TEST(!chooseToClose(busy, &servers[0], start).has_value());
}
