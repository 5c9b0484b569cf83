#define BOOST_TEST_MODULE EndpointStatement
#include <boost/test/unit_test.hpp>

#include "EndpointChoice.h"
#include "EndpointStatement.h"
#include "EntryStatements.h"

#include <rapidcheck.h>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };
const NodeLocation location { "dc-a", { { "dc-a", "north" } } };
const std::string endpointId = "e";

EndpointRequirements plainRequirements()
{
    EndpointRequirements requirements;
    requirements.service = "plain";
    return requirements;
}

EndpointRecord plainRecord(int run, const std::string& id = endpointId)
{
    EndpointRecord record;
    record.id = id;
    record.address = { "10.0.0.1", 80 };
    record.service = "plain";
    record.dataCentre = "dc-a";
    record.slots = 4;
    record.startedAt = WallTime(Seconds(run));
    return record;
}

/// What is known of the latest listed run of the endpoint.
struct Model {
    int run = 1;
    bool isListed = true;
    bool isLeaving = false;
    TimePoint noRequestsUntil {};

    bool isSetAside(TimePoint now) const { return this->isLeaving || now < this->noRequestsUntil; }
};

enum class Event : uint8_t {
    ListLatestRun,
    ListEarlierRun,
    ListNextRun,
    Remove,
    Tick,
    SayLeaving,
    SayRetryAfter,
};

void listRun(EndpointTable& table, Model& model, int run, TimePoint now)
{
    if (run > model.run)
        model = Model { run };
    model.isListed = true;
    table.upsert(plainRecord(run), now);
}

void applyEvent(Event event, EndpointTable& table, Model& model, TimePoint now)
{
    switch (event) {
    case Event::ListLatestRun:
        listRun(table, model, model.run, now);
        return;
    case Event::ListEarlierRun:
        listRun(table, model, *rc::gen::inRange(1, model.run + 1), now);
        return;
    case Event::ListNextRun:
        listRun(table, model, model.run + 1, now);
        return;
    case Event::Remove:
        model.isListed = false;
        table.remove(endpointId, now);
        return;
    case Event::Tick:
        table.removeUnusedRows(now);
        table.takeSetAsideEnds(now);
        return;
    case Event::SayLeaving:
        model.isLeaving = true;
        noteLeaving(table.statementOf(endpointId, now));
        return;
    case Event::SayRetryAfter:
        auto asked = Milliseconds(*rc::gen::inRange(0, 8000));
        model.noRequestsUntil = std::max(model.noRequestsUntil, now + asked);
        noteRetryAfter(table.statementOf(endpointId, now), asked, now);
        return;
    }
}

} // namespace

// Whatever the store lists, removes and lists again, an endpoint is chosen exactly while its latest run hasn't asked for nothing.
BOOST_AUTO_TEST_CASE(noRequestIsSentToAnEndpointThatIsSetAside)
{
    BOOST_TEST(rc::check([] {
        EndpointTable table;
        Model model;
        table.upsert(plainRecord(1), start);
        auto now = start;
        int count = *rc::gen::inRange(1, 60);
        for (int i = 0; i < count; ++i) {
            // An endpoint without a listing is remembered for a minute.
            now += Milliseconds(*rc::gen::inRange(0, model.isListed ? 4000 : 500));
            auto event = *rc::gen::element(Event::ListLatestRun, Event::ListEarlierRun, Event::ListNextRun, Event::Remove, Event::Tick, Event::Tick, Event::SayLeaving, Event::SayRetryAfter);
            applyEvent(event, table, model, now);
            auto choice = chooseEndpoint(table, plainRequirements(), location, {}, static_cast<uint64_t>(i), now);
            RC_ASSERT((choice.row != noEndpoint) == (model.isListed && !model.isSetAside(now)));
        }
    }));
}

// A shorter time never shortens a longer one, and no time bars an endpoint for longer than the limit.
BOOST_AUTO_TEST_CASE(retryAfterIsBoundedAndNotShortened)
{
    BOOST_TEST(rc::check([] {
        EndpointStatement statement;
        auto now = start;
        auto until = TimePoint();
        int count = *rc::gen::inRange(1, 20);
        for (int i = 0; i < count; ++i) {
            now += Milliseconds(*rc::gen::inRange(0, 5000));
            auto asked = Milliseconds(*rc::gen::element<int64_t>(0, 1, 700, 20'000, 400'000, Milliseconds::max().count()));
            noteRetryAfter(statement, asked, now);
            if (asked > Milliseconds(0))
                until = std::max(until, now + std::min(asked, maxRetryAfter));
            RC_ASSERT(statement.noRequestsUntil == until);
            RC_ASSERT(isSetAside(statement, now) == (now < until));
            RC_ASSERT(!isSetAside(statement, now + maxRetryAfter));
        }
    }));
}

// After its time, an endpoint gets few requests first, and never more than its limit.
BOOST_AUTO_TEST_CASE(waitingRequestsDontAllReachAnEndpointThatReturns)
{
    EndpointTable table;
    auto& row = table.rows[table.upsert(plainRecord(1), start)];
    noteRetryAfter(row.statement, Seconds(2), start);
    auto returnsAt = start + Seconds(2);
    int sent = 0;
    while (chooseEndpoint(table, plainRequirements(), location, {}, 7, returnsAt).row != noEndpoint) {
        ++row.inFlight;
        ++sent;
    }
    BOOST_TEST(sent == 1);
    BOOST_TEST(rc::check([] {
        EndpointStatement statement;
        noteRetryAfter(statement, Seconds(1), start);
        auto first = start + Seconds(1) + Milliseconds(*rc::gen::inRange(0, 3000));
        auto second = first + Milliseconds(*rc::gen::inRange(0, 3000));
        double limit = *rc::gen::inRange(1, 100);
        RC_ASSERT(limitAfterReturn(statement, limit, first) >= 1);
        RC_ASSERT(limitAfterReturn(statement, limit, first) <= limitAfterReturn(statement, limit, second));
        RC_ASSERT(limitAfterReturn(statement, limit, second) <= limit);
        RC_ASSERT(limitAfterReturn(statement, limit, start + Seconds(3)) == limit);
    }));
}

// The end of each statement is reported once.
BOOST_AUTO_TEST_CASE(endsAreReportedOnce)
{
    EndpointTable table;
    table.upsert(plainRecord(1, "leaves"), start);
    table.upsert(plainRecord(1, "refuses"), start);
    noteLeaving(table.statementOf("leaves", start));
    noteRetryAfter(table.statementOf("refuses", start), Seconds(2), start);
    BOOST_TEST(table.takeSetAsideEnds(start + Seconds(1)).empty());
    auto ends = table.takeSetAsideEnds(start + Seconds(2));
    BOOST_TEST_REQUIRE(ends.size() == 1);
    BOOST_TEST(ends[0].endpointId == "refuses");
    table.upsert(plainRecord(2, "leaves"), start + Seconds(3));
    ends = table.takeSetAsideEnds(start + Seconds(3));
    BOOST_TEST_REQUIRE(ends.size() == 1);
    BOOST_TEST(ends[0].endpointId == "leaves");
    BOOST_TEST(table.takeSetAsideEnds(start + Seconds(4)).empty());
    // One that is gone is forgotten after a while.
    noteLeaving(table.statementOf("leaves", start));
    table.remove("leaves", start + Seconds(5));
    table.removeUnusedRows(start + Seconds(5));
    BOOST_TEST(table.unlistedStatements.size() == 1);
    BOOST_TEST(table.takeSetAsideEnds(start + Seconds(600)).size() == 1);
    BOOST_TEST(table.unlistedStatements.empty());
}

// Requests are refused at once only when every endpoint that could run them is set aside.
BOOST_AUTO_TEST_CASE(allEndpointsAreSetAsideOnlyIfNoneIsLeft)
{
    EndpointTable table;
    auto requirements = plainRequirements();
    auto until = [&] { return allSetAsideUntil(table, requirements, location, {}, start); };
    BOOST_TEST(!until().has_value());
    auto first = table.upsert(plainRecord(1, "a"), start);
    auto second = table.upsert(plainRecord(1, "b"), start);
    BOOST_TEST(!until().has_value());
    noteLeaving(table.rows[first].statement);
    BOOST_TEST(!until().has_value());
    requirements.triedEndpointIds = { "b" };
    BOOST_TEST((until() == TimePoint::max()));
    requirements.triedEndpointIds.clear();
    noteRetryAfter(table.rows[second].statement, Seconds(3), start);
    BOOST_TEST((until() == start + Seconds(3)));
    noteRetryAfter(table.rows[first].statement, Seconds(1), start);
    BOOST_TEST((until() == start + Seconds(3)));
    table.rows[second].record.isDraining = true;
    BOOST_TEST((until() == TimePoint::max()));
}

BOOST_AUTO_TEST_CASE(refusedCallersReturnAfterTheEndpointAndSpread)
{
    BOOST_TEST(rc::check([] {
        auto wait = Milliseconds(*rc::gen::inRange(1, 20'000));
        auto delay = retryAfterSetAside(start + wait, start, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(delay >= wait);
        RC_ASSERT(delay <= wait + std::max(Milliseconds(300), wait / 2));
    }));
    BOOST_TEST((retryAfterSetAside(start + Seconds(4), start, 0) != retryAfterSetAside(start + Seconds(4), start, 99)));
    BOOST_TEST((retryAfterSetAside(TimePoint::max(), start, 50) < Seconds(2)));
}

BOOST_AUTO_TEST_CASE(runsOfOneEndpointHaveDifferentHashes)
{
    BOOST_TEST(runHash("e", WallTime(Seconds(1))) == runHash("e", WallTime(Seconds(1))));
    BOOST_TEST(runHash("e", WallTime(Seconds(1))) != runHash("e", WallTime(Seconds(2))));
    BOOST_TEST(runHash("e", WallTime(Seconds(1))) != runHash("f", WallTime(Seconds(1))));
}
