#define BOOST_TEST_MODULE EventStreamBuffer
#include <boost/test/unit_test.hpp>

#include "EventStreamBuffer.h"

#include <limits>
#include <optional>
#include <rapidcheck.h>
#include <vector>

using namespace bilberry;

namespace {

std::string makeEvent(uint64_t id, const std::string& data, const std::string& lineEnd = "\n")
{
    return "id: " + std::to_string(id) + lineEnd + "data: " + data + lineEnd + lineEnd;
}

} // namespace

// The same events come out however the bytes are split, and no part of an incomplete event comes out.
BOOST_AUTO_TEST_CASE(anySplitYieldsTheSameEvents)
{
    BOOST_TEST(rc::check([] {
        auto lineEnd = *rc::gen::element<std::string>("\n", "\r\n");
        std::string whole;
        int count = *rc::gen::inRange(0, 20);
        for (int i = 0; i < count; ++i)
            whole += makeEvent(static_cast<uint64_t>(i), std::string(static_cast<size_t>(*rc::gen::inRange(0, 30)), 'x'), lineEnd);
        EventStreamBuffer stream;
        std::string out;
        size_t position = 0;
        while (position < whole.size()) {
            auto size = static_cast<size_t>(*rc::gen::inRange(1, 40));
            out += takeCompleteEvents(stream, std::string_view(whole).substr(position, size));
            position += size;
        }
        RC_ASSERT(out == whole);
        RC_ASSERT(stream.partialEvent.empty());
        RC_ASSERT(stream.fault == StreamFault::None);
        if (count > 0)
            RC_ASSERT(stream.lastEventId == static_cast<uint64_t>(count - 1));
    }));
}

// A run that stops at any byte, followed by one that continues after the last complete event, yields each event once.
BOOST_AUTO_TEST_CASE(anotherRunContinuesAfterTheLastCompleteEvent)
{
    BOOST_TEST(rc::check([] {
        int count = *rc::gen::inRange(2, 20);
        std::string whole;
        for (int i = 0; i < count; ++i)
            whole += makeEvent(static_cast<uint64_t>(i), "token");
        auto cut = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(whole.size())));
        EventStreamBuffer stream;
        std::string out = takeCompleteEvents(stream, std::string_view(whole).substr(0, cut));
        discardPartialEvent(stream);
        uint64_t next = stream.lastEventId ? *stream.lastEventId + 1 : 0;
        for (uint64_t id = next; id < static_cast<uint64_t>(count); ++id)
            out += takeCompleteEvents(stream, makeEvent(id, "token"));
        RC_ASSERT(out == whole);
        RC_ASSERT(stream.fault == StreamFault::None);
    }));
}

BOOST_AUTO_TEST_CASE(missingOrRepeatedEventsEndTheStream)
{
    for (uint64_t second : { uint64_t { 7 }, uint64_t { 5 }, uint64_t { 0 } }) {
        EventStreamBuffer stream;
        stream.lastEventId = 4;
        BOOST_TEST(takeCompleteEvents(stream, makeEvent(5, "a")) == makeEvent(5, "a"));
        BOOST_TEST(takeCompleteEvents(stream, makeEvent(second, "b")).empty());
        BOOST_TEST((stream.fault == StreamFault::OutOfSequence));
        BOOST_TEST(takeCompleteEvents(stream, makeEvent(6, "c")).empty());
        // Another run may continue after the last valid event.
        discardPartialEvent(stream);
        BOOST_TEST(takeCompleteEvents(stream, makeEvent(6, "c")) == makeEvent(6, "c"));
    }
}

BOOST_AUTO_TEST_CASE(linesBeforeTheIdBelongToTheEvent)
{
    BOOST_TEST((parseEventId("weights-version: 3\nid: 12\ndata: x\n\n") == std::optional<uint64_t>(12)));
    BOOST_TEST((parseEventId("data: x\n\n") == std::nullopt));
    BOOST_TEST((parseEventId("id: abc\n\n") == std::nullopt));
}

BOOST_AUTO_TEST_CASE(unterminatedEventsAreLimitedInSize)
{
    EventStreamBuffer stream;
    takeCompleteEvents(stream, "data: " + std::string(maxStreamEventBytes + 1, 'x'));
    BOOST_TEST((stream.fault == StreamFault::Oversized));
}

BOOST_AUTO_TEST_CASE(aRunThatBeginsLaterThanAtTheEventThatIsDueIsAFault)
{
    constexpr auto largest = std::numeric_limits<uint64_t>::max();
    struct Row {
        std::optional<uint64_t> resumedAfter;
        uint64_t first;
        bool isDue;
    };
    for (const auto& row : std::vector<Row> { { {}, 0, true }, { {}, 1, true }, { {}, 2, false }, { {}, 7, false }, { {}, largest, false }, { 5, 6, true }, { 5, 7, false }, { 5, 5, false },
             { 5, 0, false }, { 5, 1, false }, { 0, 1, true }, { 0, 0, false }, { largest, 0, false }, { largest, largest, false }, { largest - 1, largest, true } }) {
        EventStreamBuffer stream;
        stream.lastEventId = row.resumedAfter;
        auto event = makeEvent(row.first, "a");
        BOOST_TEST(takeCompleteEvents(stream, event) == (row.isDue ? event : ""));
        BOOST_TEST((stream.fault == (row.isDue ? StreamFault::None : StreamFault::OutOfSequence)));
        BOOST_TEST(stream.hasEvents == row.isDue);
    }
}

BOOST_AUTO_TEST_CASE(eventsWithoutIdAreNeverMixedWithNumberedOnes)
{
    for (const std::string unnumbered : { "data: x\n\n", "id: abc\ndata: x\n\n", "id: -1\ndata: x\n\n", "id:\r\ndata: x\r\n\r\n", "event: token\ndata: x\n\n" }) {
        EventStreamBuffer numbered;
        BOOST_TEST(takeCompleteEvents(numbered, makeEvent(1, "a") + unnumbered) == makeEvent(1, "a"));
        BOOST_TEST((numbered.fault == StreamFault::OutOfSequence));
        BOOST_TEST(!numbered.hasUnnumberedEvents);
        EventStreamBuffer resumed;
        resumed.lastEventId = 3;
        BOOST_TEST(takeCompleteEvents(resumed, unnumbered).empty());
        EventStreamBuffer other;
        BOOST_TEST(takeCompleteEvents(other, unnumbered + unnumbered) == unnumbered + unnumbered);
        BOOST_TEST(other.hasUnnumberedEvents);
        BOOST_TEST(takeCompleteEvents(other, makeEvent(1, "a")).empty());
        BOOST_TEST((other.fault == StreamFault::OutOfSequence));
    }
}

BOOST_AUTO_TEST_CASE(blocksWithoutDataAreNoEvents)
{
    for (const std::string block : { ": still here\n\n", ":\r\n\r\n", "retry: 100\n\n", ": data: none\n\n" }) {
        EventStreamBuffer stream;
        BOOST_TEST(takeCompleteEvents(stream, block) == block);
        BOOST_TEST(!stream.hasEvents);
        BOOST_TEST(!stream.hasUnnumberedEvents);
        BOOST_TEST(takeCompleteEvents(stream, makeEvent(1, "a") + block + makeEvent(2, "b")) == makeEvent(1, "a") + block + makeEvent(2, "b"));
        BOOST_TEST(stream.hasEvents);
    }
}
