#define BOOST_TEST_MODULE StoreReaders
#include <boost/test/unit_test.hpp>

#include "StoreReaders.h"

#include <rapidcheck.h>
#include <set>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };
constexpr Milliseconds recentAge { 300 };

std::string ipOf(size_t entry)
{
    return "10.0.0." + std::to_string(entry);
}

PeerMessage messageOf(uint64_t sequence, Milliseconds viewAge, StoreVersion version = { 1, 10 })
{
    PeerMessage message;
    message.incarnation = 1;
    message.sequence = sequence;
    message.dataCentre = "dc-a";
    message.viewAge = viewAge;
    message.storeVersion = version;
    return message;
}

/// Tables of all entries of one data centre, which have just heard each other.
std::vector<PeerTable> tablesOf(size_t count, const std::set<size_t>& silent = {}, Milliseconds viewAge = recentAge)
{
    std::vector<PeerTable> tables(count);
    for (size_t i = 0; i < count; ++i) {
        tables[i].ownIp = ipOf(i);
        tables[i].ownDataCentre = "dc-a";
        for (size_t other = 0; other < count; ++other) {
            if (silent.count(other) == 0)
                tables[i].applyMessage(ipOf(other), messageOf(1, viewAge), start);
        }
    }
    return tables;
}

std::set<size_t> readersOf(const std::vector<PeerTable>& tables, const std::set<size_t>& silent = {})
{
    std::set<size_t> readers;
    for (size_t i = 0; i < tables.size(); ++i) {
        StoreReading reading;
        if (silent.count(i) == 0 && shouldReadStore(reading, tables[i], recentAge, start))
            readers.insert(i);
    }
    return readers;
}

} // namespace

// All entries that hear each other agree on two readers, however many they are; when these fall silent, on two others.
BOOST_AUTO_TEST_CASE(twoEntriesReadTheStore)
{
    for (size_t count : { 1, 2, 3, 11, 60 }) {
        auto readers = readersOf(tablesOf(count));
        BOOST_TEST(readers.size() == std::min<size_t>(2, count));
        auto others = readersOf(tablesOf(count, readers), readers);
        BOOST_TEST(others.size() == std::min<size_t>(2, count - readers.size()));
    }
}

// Whatever entries hear of each other, each data centre has a reader, and an entry whose view is old reads the store itself.
BOOST_AUTO_TEST_CASE(someEntryAlwaysReads)
{
    BOOST_TEST(rc::check([] {
        auto count = static_cast<size_t>(*rc::gen::inRange(1, 12));
        std::vector<PeerTable> tables(count);
        bool anyReads = false;
        for (size_t i = 0; i < count; ++i) {
            tables[i].ownIp = ipOf(i);
            tables[i].ownDataCentre = "dc-a";
            for (size_t other = 0; other < count; ++other) {
                if (*rc::gen::arbitrary<bool>())
                    tables[i].applyMessage(ipOf(other), messageOf(1, Milliseconds(*rc::gen::inRange(0, 4000))), start - Milliseconds(*rc::gen::inRange(0, 3000)));
            }
            StoreReading reading;
            anyReads = anyReads || shouldReadStore(reading, tables[i], recentAge, start);
            StoreReading oldReading;
            RC_ASSERT(shouldReadStore(oldReading, tables[i], Milliseconds(2200), start));
        }
        RC_ASSERT(anyReads);
    }));
}

// Readers that the store turns away, whose views grow old, don't keep the others from reading.
BOOST_AUTO_TEST_CASE(readersWithoutNewsDontCount)
{
    auto tables = tablesOf(8, {}, Milliseconds(2100));
    BOOST_TEST(readersOf(tables).size() == 8u);
    // An entry whose own view was old goes on reading for a while, although a reader is back.
    auto current = tablesOf(8);
    for (size_t i = 0; i < current.size(); ++i) {
        StoreReading reading;
        BOOST_TEST(shouldReadStore(reading, current[i], Milliseconds(2500), start));
        BOOST_TEST(shouldReadStore(reading, current[i], recentAge, start + Milliseconds(100)));
    }
}

// An entry asks for changes as soon as another one has them, and otherwise only to confirm a view that grows old.
BOOST_AUTO_TEST_CASE(changesAreAskedForAtOnce)
{
    PeerTable table;
    table.ownIp = ipOf(0);
    table.ownDataCentre = "dc-a";
    table.applyMessage(ipOf(1), messageOf(1, Milliseconds(100), { 1, 10 }), start);
    BOOST_TEST(readerToAsk(table, { 1, 10 }, recentAge, start).empty());
    BOOST_TEST(readerToAsk(table, { 1, 9 }, recentAge, start) == ipOf(1));
    BOOST_TEST(readerToAsk(table, { 1, 10 }, Milliseconds(800), start) == ipOf(1));
    BOOST_TEST(readerToAsk(table, { 2, 1 }, Milliseconds(800), start).empty());
    table.applyMessage(ipOf(2), messageOf(1, Milliseconds(50), { 2, 1 }), start);
    BOOST_TEST(readerToAsk(table, { 1, 10 }, recentAge, start) == ipOf(2));
    BOOST_TEST(readerToAsk(table, { 1, 9 }, recentAge, start + Seconds(2)).empty());
}
