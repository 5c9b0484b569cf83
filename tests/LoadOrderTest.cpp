/// Tests when an engine may be ordered to load pieces that were read back.
#define BOOST_TEST_MODULE LoadOrder
#include <boost/test/unit_test.hpp>

#include "LoadOrder.h"
#include "ProtocolAdapter.h"

using namespace bilberry;

static const BootTimePoint start { std::chrono::hours(1) };
// The rule: a piece may have been spoilt for so long when the engine accepts the order.
static constexpr Milliseconds longestSpoilt { 3000 };

static LoadOrderState makeReadState(size_t pieces)
{
    LoadOrderState state;
    auto batch = beginReads(state, pieces, start);
    for (size_t piece = 0; piece < pieces; ++piece)
        noteRead(state, batch, PieceState::Sound);
    return state;
}

// The longest times by which an order can be sent and answered stay within the rule.
BOOST_AUTO_TEST_CASE(ordersNeverRelyOnReadsOlderThanTheRuleAllows)
{
    for (Milliseconds age { 0 }; age < longestSpoilt * 2; age += Milliseconds(10)) {
        auto state = makeReadState(3);
        auto timeout = orderTimeout(state, start + age);
        if (!timeout)
            continue;
        BOOST_TEST((*timeout > Milliseconds(0)));
        BOOST_TEST((age + *timeout < longestSpoilt));
    }
    BOOST_TEST(orderTimeout(makeReadState(3), start).has_value());
    BOOST_TEST(!orderTimeout(makeReadState(3), start + longestSpoilt).has_value());
}

static constexpr Milliseconds startOfEngine { 1000 };
static constexpr Milliseconds longAfterStart = startOfEngine + Seconds(3600);

static EngineReport makeReport(uint64_t acceptedOrders, bool isBusy = false)
{
    EngineReport report;
    report.acceptedOrders = acceptedOrders;
    report.isBusy = isBusy;
    report.startedAtUnixMs = startOfEngine.count();
    return report;
}

// An order whose answer didn't come in time, and that the engine has accepted at some time.
static LoadOrderState makeDoubtedState()
{
    auto state = makeReadState(3);
    noteReport(state, makeReport(0), longAfterStart);
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::Unanswered, start + longestSpoilt);
    noteReport(state, makeReport(1), longAfterStart);
    return state;
}

BOOST_AUTO_TEST_CASE(piecesAreNotReadBackWithoutAPause)
{
    auto state = makeReadState(3);
    BOOST_TEST(areReadsDue(state, start));
    delayReads(state, start);
    BOOST_TEST(!areReadsDue(state, start + Milliseconds(50)));
    BOOST_TEST(areReadsDue(state, start + Seconds(1)));
    beginReads(state, 3, start + Seconds(1));
    BOOST_TEST(!areReadsDue(state, start + Seconds(1)));
}

BOOST_AUTO_TEST_CASE(timelyAnswersProveALoad)
{
    auto state = makeReadState(3);
    noteReport(state, makeReport(0), longAfterStart);
    noteOrderSent(state);
    BOOST_TEST(state.isOrderInFlight);
    noteReport(state, makeReport(1), longAfterStart);
    noteOrderEnd(state, OrderEnd::Begun, start + Milliseconds(100));
    BOOST_TEST(!state.isOrderInFlight);
    noteReport(state, makeReport(1), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Proven));
}

BOOST_AUTO_TEST_CASE(lateAndLostAnswersProveNothing)
{
    for (auto end : { OrderEnd::Begun, OrderEnd::Unanswered }) {
        auto state = makeReadState(3);
        noteReport(state, makeReport(0), longAfterStart);
        noteOrderSent(state);
        noteOrderEnd(state, end, start + longestSpoilt);
        BOOST_TEST((state.trust == LoadTrust::Unplaced));
        noteReport(state, makeReport(1), longAfterStart);
        BOOST_TEST((state.trust == LoadTrust::Doubted));
    }
}

BOOST_AUTO_TEST_CASE(refusedOrdersLeaveEarlierDoubts)
{
    auto state = makeReadState(3);
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::Unanswered, start);
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::NotBegun, start);
    BOOST_TEST((state.trust == LoadTrust::Unplaced));
}

BOOST_AUTO_TEST_CASE(doubtedLayersAreJudgedByTheirPieces)
{
    auto state = makeDoubtedState();
    judgeDoubtedLayers(state, BatchState::Unknown);
    BOOST_TEST((state.trust == LoadTrust::Doubted));
    judgeDoubtedLayers(state, BatchState::Sound);
    noteReport(state, makeReport(1), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Proven));
    state = makeDoubtedState();
    judgeDoubtedLayers(state, BatchState::Spoilt);
    noteReport(state, makeReport(1), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Spoilt));
}

// A piece that was spoilt when the engine took it may have been written since.
BOOST_AUTO_TEST_CASE(piecesWrittenSinceTheOrderDontClearIt)
{
    auto state = makeReadState(3);
    noteReport(state, makeReport(0), longAfterStart);
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::Unanswered, start + longestSpoilt);
    notePieceWritten(state);
    noteReport(state, makeReport(1), longAfterStart);
    judgeDoubtedLayers(state, BatchState::Sound);
    BOOST_TEST((state.trust == LoadTrust::Spoilt));
}

BOOST_AUTO_TEST_CASE(spoiltLayersStaySoUntilAnotherLoad)
{
    auto state = makeDoubtedState();
    judgeDoubtedLayers(state, BatchState::Spoilt);
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::NotBegun, start);
    BOOST_TEST((state.trust == LoadTrust::Spoilt));
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::Begun, start);
    noteReport(state, makeReport(2), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Proven));
}

BOOST_AUTO_TEST_CASE(anotherRunOfTheEngineIsJudgedAnew)
{
    auto state = makeDoubtedState();
    auto report = makeReport(1);
    report.startedAtUnixMs = 2000;
    noteReport(state, report, longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Proven));
    state = makeDoubtedState();
    noteReport(state, makeReport(0), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Proven));
}

BOOST_AUTO_TEST_CASE(recentOrdersOfAnEarlierProcessAreDoubted)
{
    LoadOrderState state;
    noteReport(state, makeReport(1, true), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Doubted));
    state = LoadOrderState();
    noteReport(state, makeReport(1, false), longAfterStart);
    BOOST_TEST((state.trust == LoadTrust::Proven));
    state = LoadOrderState();
    noteReport(state, makeReport(1, false), startOfEngine + Seconds(5));
    BOOST_TEST((state.trust == LoadTrust::Doubted));
    state = LoadOrderState();
    noteReport(state, makeReport(0, false), startOfEngine + Seconds(5));
    BOOST_TEST((state.trust == LoadTrust::Proven));
}

BOOST_AUTO_TEST_CASE(readsOfTwoBatchesAreNeverTakenTogether)
{
    LoadOrderState state;
    auto first = beginReads(state, 2, start);
    BOOST_TEST((noteRead(state, first, PieceState::Sound) == BatchState::Pending));
    auto second = beginReads(state, 2, start + Milliseconds(500));
    BOOST_TEST((noteRead(state, second, PieceState::Sound) == BatchState::Pending));
    BOOST_TEST((noteRead(state, first, PieceState::Sound) == BatchState::Pending));
    BOOST_TEST((noteRead(state, second, PieceState::Sound) == BatchState::Sound));
    BOOST_TEST((noteRead(state, second, PieceState::Sound) == BatchState::Pending));
}

BOOST_AUTO_TEST_CASE(voidReadsNeverLeadToAnOrder)
{
    LoadOrderState state;
    auto batch = beginReads(state, 1, start);
    voidReads(state);
    BOOST_TEST(!state.isReading);
    BOOST_TEST((noteRead(state, batch, PieceState::Sound) == BatchState::Pending));
}

BOOST_AUTO_TEST_CASE(unansweredReadsAreNoEvidenceForOrAgainstAPiece)
{
    LoadOrderState state;
    auto batch = beginReads(state, 2, start);
    noteRead(state, batch, PieceState::Unknown);
    BOOST_TEST((noteRead(state, batch, PieceState::Sound) == BatchState::Unknown));
    batch = beginReads(state, 2, start);
    noteRead(state, batch, PieceState::Unknown);
    BOOST_TEST((noteRead(state, batch, PieceState::Spoilt) == BatchState::Spoilt));
}

BOOST_AUTO_TEST_CASE(ordersOfAnEarlierProcessForARecentlyNamedVersionAreDoubtedOnce)
{
    for (bool isRecent : { true, false }) {
        LoadOrderState state;
        noteReport(state, makeReport(1), longAfterStart);
        noteVersionNamedFor(state, isRecent ? Seconds(5) : Seconds(3600));
        BOOST_TEST(((state.trust == LoadTrust::Doubted) == isRecent));
        if (isRecent)
            judgeDoubtedLayers(state, BatchState::Sound);
        noteVersionNamedFor(state, Seconds(6));
        BOOST_TEST((state.trust == LoadTrust::Proven));
    }
}

BOOST_AUTO_TEST_CASE(ordersOfThisProcessAreNotDoubtedForTheirVersion)
{
    auto state = makeReadState(3);
    noteReport(state, makeReport(0), longAfterStart);
    noteOrderSent(state);
    noteOrderEnd(state, OrderEnd::Begun, start + Milliseconds(100));
    noteReport(state, makeReport(1), longAfterStart);
    noteVersionNamedFor(state, Seconds(5));
    BOOST_TEST((state.trust == LoadTrust::Proven));
}
