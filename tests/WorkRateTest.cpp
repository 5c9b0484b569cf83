#define BOOST_TEST_MODULE WorkRate
#include <boost/test/unit_test.hpp>

#include "EndpointTable.h"
#include "WorkRate.h"

#include <rapidcheck.h>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };

WorkRate statedAt(std::initializer_list<std::pair<int, uint32_t>> statements)
{
    WorkRate rate;
    for (const auto& [milliseconds, percent] : statements)
        noteWorkTime(rate, percent, start + Milliseconds(milliseconds));
    return rate;
}

EndpointRecord plainRecord(const std::string& id, const std::string& service = "s")
{
    EndpointRecord record;
    record.id = id;
    record.service = service;
    record.slots = 6;
    return record;
}

LoadReport loadWith(std::optional<uint32_t> percent)
{
    return { 1, 0, 6, percent };
}

} // namespace

BOOST_AUTO_TEST_CASE(nothingIsKnownWithoutStatements)
{
    WorkRate rate;
    BOOST_TEST(!isWorkTimeKnown(rate, false, start));
    BOOST_TEST(!isWorkTimeKnown(rate, false, TimePoint() + Milliseconds(1)));
    BOOST_TEST(meanWorkTime(rate, false, start) == 1);
    BOOST_TEST(currentWorkTime(rate, false, start) == 1);
}

// Load: other work makes an endpoint slow for some 0.6 s at a time. A statement is used at once, fades within tenths of a second,
// and after 0.8 s nothing is left of it.
BOOST_AUTO_TEST_CASE(statementsCountForTenthsOfASecond)
{
    auto rate = statedAt({ { 0, 250 } });
    BOOST_TEST(currentWorkTime(rate, false, start) == 2.5);
    BOOST_TEST(meanWorkTime(rate, false, start + Milliseconds(200)) == 2.5);
    double previous = 2.5;
    for (int age = 250; age < 800; age += 50) {
        double mean = meanWorkTime(rate, false, start + Milliseconds(age));
        BOOST_TEST(mean < previous);
        previous = mean;
    }
    BOOST_TEST(currentWorkTime(rate, false, start + Milliseconds(799)) < 1.01);
    BOOST_TEST(isWorkTimeKnown(rate, false, start + Milliseconds(799)));
    BOOST_TEST(!isWorkTimeKnown(rate, false, start + Milliseconds(800)));
    BOOST_TEST(currentWorkTime(rate, false, start + Milliseconds(800)) == 1);
}

// Load: an endpoint that stays slow and gets few requests. Once its statement is old, it gets one request; until that is answered, the
// statement holds, so that not all requests that find it idle are sent there.
BOOST_AUTO_TEST_CASE(statementsHoldWhileANewerOneIsAwaited)
{
    EndpointTable table;
    auto& row = table.rows[table.upsert(plainRecord("e"), start)];
    noteLoadReport(row, loadWith(300), start);
    auto later = start + Milliseconds(1000);
    BOOST_TEST(currentWorkTime(row, later) == 1);
    recordSend(row.responseDelay, later);
    BOOST_TEST(isWorkTimeKnown(row, later));
    BOOST_TEST(currentWorkTime(row, later) == 3);
    BOOST_TEST(meanWorkTime(row, later + Milliseconds(500)) == 3);
    BOOST_TEST(meanWorkTime(row, start + Milliseconds(3000)) == 1);
    noteLoadReport(row, loadWith(100), later + Milliseconds(100));
    recordResponseBegin(row.responseDelay, later, later + Milliseconds(100));
    BOOST_TEST(currentWorkTime(row, later + Milliseconds(100)) == 1);
}

// A send right now goes by the newest statement; the mean follows within some tenths of a second.
BOOST_AUTO_TEST_CASE(theNewestStatementCountsMoreForASend)
{
    auto rate = statedAt({ { 0, 100 }, { 100, 100 }, { 200, 100 }, { 250, 300 } });
    auto now = start + Milliseconds(250);
    BOOST_TEST(currentWorkTime(rate, false, now) == 3);
    BOOST_TEST(meanWorkTime(rate, false, now) < 1.5);
    BOOST_TEST(meanWorkTime(rate, false, now) > 1.1);
    for (int age = 300; age <= 1250; age += 50)
        noteWorkTime(rate, 300, start + Milliseconds(age));
    BOOST_TEST(meanWorkTime(rate, false, start + Milliseconds(1250)) > 2.8);
}

BOOST_AUTO_TEST_CASE(olderStatementsAndThoseOutOfBoundsChangeNothing)
{
    auto rate = statedAt({ { 100, 200 } });
    BOOST_TEST(!noteWorkTime(rate, 300, start + Milliseconds(99)));
    for (uint32_t percent : { 0U, 9U, 10'001U, UINT32_MAX })
        BOOST_TEST(!noteWorkTime(rate, percent, start + Milliseconds(200)));
    BOOST_TEST(currentWorkTime(rate, false, start + Milliseconds(100)) == 2);
    BOOST_TEST(noteWorkTime(rate, 10, start + Milliseconds(100)));
}

// Whatever is stated when, the expected work time lies between the usual one and those stated.
BOOST_AUTO_TEST_CASE(workTimesStayWithinTheStatements)
{
    BOOST_TEST(rc::check([] {
        WorkRate rate;
        auto now = start;
        double lowest = 1;
        double highest = 1;
        int count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i) {
            auto percent = static_cast<uint32_t>(*rc::gen::inRange(10, 1000));
            now += Milliseconds(*rc::gen::inRange(0, 800));
            noteWorkTime(rate, percent, now);
            lowest = std::min(lowest, percent / 100.0);
            highest = std::max(highest, percent / 100.0);
        }
        now += Milliseconds(*rc::gen::inRange(0, 1500));
        for (double workTime : { meanWorkTime(rate, false, now), currentWorkTime(rate, false, now) })
            RC_ASSERT(workTime >= lowest - 1e-9 && workTime <= highest + 1e-9);
    }));
}

// Load reports without a work time, as those of most deployments, leave nothing behind that a decision could use.
BOOST_AUTO_TEST_CASE(loadsWithoutAWorkTimeStateNone)
{
    EndpointTable table;
    auto row = table.upsert(plainRecord("e"), start);
    noteLoadReport(table.rows[row], loadWith({}), start);
    BOOST_TEST(!isWorkTimeKnown(table.rows[row], start));
    BOOST_TEST(!statesWorkTimes(table, "s", start));
    BOOST_TEST(takeWorkTimes(table, start).empty());
    noteLoadReport(table.rows[row], loadWith(180), start);
    BOOST_TEST(statesWorkTimes(table, "s", start));
    BOOST_TEST(!statesWorkTimes(table, "other", start));
    BOOST_TEST(currentWorkTime(table.rows[row], start) == 1.8);
}

// Entries tell each other what endpoints state to them, once and only while it is new; a report doesn't replace a newer statement,
// isn't passed on, and keeps its age.
BOOST_AUTO_TEST_CASE(entriesTellEachOtherOfNewWorkTimes)
{
    EndpointTable sender;
    EndpointTable receiver;
    for (const char* id : { "a", "b", "c" }) {
        sender.upsert(plainRecord(id), start);
        receiver.upsert(plainRecord(id), start);
    }
    noteLoadReport(sender.rows[0], loadWith(250), start);
    noteLoadReport(sender.rows[1], loadWith(300), start + Milliseconds(50));
    noteLoadReport(sender.rows[2], loadWith(400), start - Milliseconds(350));
    noteLoadReport(receiver.rows[1], loadWith(120), start + Milliseconds(80));
    auto now = start + Milliseconds(100);
    auto reports = takeWorkTimes(sender, now);
    BOOST_REQUIRE(reports.size() == 2u);
    BOOST_TEST(reports[0].percent == 300u);
    BOOST_TEST((reports[1].age == Milliseconds(100)));
    BOOST_TEST(takeWorkTimes(sender, now).empty());
    applyWorkTimes(receiver, reports, now);
    BOOST_TEST((receiver.rows[0].workRate.statedAt == start));
    BOOST_TEST(receiver.rows[0].workRate.newest == 2.5);
    BOOST_TEST(receiver.rows[1].workRate.newest == 1.2);
    BOOST_TEST(!isWorkTimeKnown(receiver.rows[2], now));
    auto passedOn = takeWorkTimes(receiver, now);
    BOOST_REQUIRE(passedOn.size() == 1u);
    BOOST_TEST(passedOn[0].percent == 120u);
}

// Load: hundreds of endpoints that all state a work time between two messages. The report stays small and has the newest ones.
BOOST_AUTO_TEST_CASE(reportsAreBounded)
{
    EndpointTable table;
    for (int i = 0; i < 300; ++i) {
        auto row = table.upsert(plainRecord("e" + std::to_string(i)), start);
        noteLoadReport(table.rows[row], loadWith(200), start + Milliseconds(i % 200));
    }
    DemandReport report;
    report.workTimes = takeWorkTimes(table, start + Milliseconds(200));
    BOOST_TEST(report.workTimes.size() == 64u);
    BOOST_TEST((report.workTimes.back().age <= Milliseconds(64)));
    BOOST_TEST(encodeDemandReport(report).size() < 1000u);
}

// A report from another process may hold anything; it changes only endpoints that are known, within the bounds.
BOOST_AUTO_TEST_CASE(reportsWithOddFiguresAreHarmless)
{
    EndpointTable table;
    table.upsert(plainRecord("e"), start);
    auto hash = endpointHash("e");
    applyWorkTimes(table, { { hash, 0, Milliseconds(0) }, { hash + 1, 300, Milliseconds(0) } }, start);
    applyWorkTimes(table, { { hash, 300, Milliseconds(UINT32_MAX) } }, start);
    BOOST_TEST(!isWorkTimeKnown(table.rows[0], start));
    BOOST_TEST(typicalWorkTime(table, "s", start) == 1);
}

BOOST_AUTO_TEST_CASE(theTypicalWorkTimeIsTheMedian)
{
    EndpointTable table;
    for (int i = 0; i < 5; ++i)
        table.upsert(plainRecord("e" + std::to_string(i)), start);
    for (size_t slow : { 0U, 1U })
        noteLoadReport(table.rows[slow], loadWith(300), start);
    BOOST_TEST(typicalWorkTime(table, "s", start) == 1);
    BOOST_TEST(countSlowByStatement(table, start) == 2u);
    noteLoadReport(table.rows[2], loadWith(300), start);
    BOOST_TEST(typicalWorkTime(table, "s", start) == 3);
    BOOST_TEST(typicalWorkTime(table, "other", start) == 1);
}
