/// Tests when an engine may be ordered to load pieces that were read back.
#define BOOST_TEST_MODULE LoadOrder
#include <boost/test/unit_test.hpp>

#include "LoadOrder.h"

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

BOOST_AUTO_TEST_CASE(answersThatComeLateDontProveThatTheReadsWereRecent)
{
    auto state = makeReadState(3);
    noteOrderSent(state);
    BOOST_TEST(state.isOrderInFlight);
    BOOST_TEST(noteOrderEnd(state, start + Milliseconds(100)));
    BOOST_TEST(!state.isOrderInFlight);
    noteOrderSent(state);
    BOOST_TEST(!noteOrderEnd(state, start + longestSpoilt));
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
